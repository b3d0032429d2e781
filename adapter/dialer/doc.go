// Package dialer makes connections, and tells those that were never made from
// those that broke.
package dialer
