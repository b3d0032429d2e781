// Package ranker orders waiting requests by rank with floors, by client
// account with fair shares, and by the slack left to their first token.
package ranker
