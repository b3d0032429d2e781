// Package quarantiner finds requests that crash the backend servers which run
// them, and keeps them from running again.
package quarantiner
