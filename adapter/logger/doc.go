// Package logger writes log lines as JSON from a separate goroutine, so that no
// request waits for the output. Lines beyond its limits are counted and not written.
package logger
