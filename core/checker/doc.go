// Package checker validates configuration items before they are written to the
// configuration log.
package checker
