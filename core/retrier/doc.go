// Package retrier bounds retries to a part of the recent requests and spreads
// them over time.
package retrier
