// Package generator is a small stand-in for a model engine: it batches
// continuously, honours priorities, holds KV memory and streams made-up text.
package generator
