// Package estimator estimates prompt and output lengths in tokens for each client account and model, and the time per
// output token for each model, from completed requests.
package estimator
