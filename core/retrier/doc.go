// Package retrier limits retries to a fraction of the recent requests and
// delays them with exponential backoff and jitter.
package retrier
