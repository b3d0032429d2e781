// Package checker finds the faults of configuration items before they are
// sent to the log.
package checker
