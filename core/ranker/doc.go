// Package ranker orders queued requests by rank with minimum shares, by client account with
// fair shares, and by the time left until their first-token deadline.
package ranker
