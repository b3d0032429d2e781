// Package recorder is a small stand-in for a plain service: it counts how often
// it ran the calls of each idempotency key.
package recorder
