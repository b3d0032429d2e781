// Package sequencer implements the baseline queue, which is first come, first served
// regardless of rank, account and length.
package sequencer
