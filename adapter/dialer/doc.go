// Package dialer establishes connections and distinguishes a failure to connect
// from a connection that broke later.
package dialer
