// Package generator is a small stand-in for a model engine: it uses continuous
// batching, honours priorities, reserves KV memory and streams generated filler
// text.
package generator
