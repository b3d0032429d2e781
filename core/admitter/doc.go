// Package admitter holds client accounts to their limits and bounds the memory
// of buffered request bodies at one entry VM.
package admitter
