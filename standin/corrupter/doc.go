// Package corrupter answers HTTP requests over loopback with responses that are truncated, malformed or not answers at all.
package corrupter
