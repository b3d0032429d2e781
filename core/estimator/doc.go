// Package estimator learns how many tokens a text has and how long answers
// get, for each client account and model.
package estimator
