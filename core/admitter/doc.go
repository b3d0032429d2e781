// Package admitter enforces the limits of client accounts and the limit on the memory
// of buffered request bodies at one entry VM.
package admitter
