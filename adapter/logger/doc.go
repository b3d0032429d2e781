// Package logger writes lines in JSON from a goroutine of its own, so that no
// request waits for them; what does not fit into its bounds is counted instead.
package logger
