// Package sequencer is the baseline queue: first come, first served, whatever
// the rank, account or length.
package sequencer
