// Package admitter enforces the limits of client accounts at one entry VM.
package admitter
