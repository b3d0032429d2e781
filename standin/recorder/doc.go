// Package recorder is a small stand-in for a plain service: it counts how often
// the calls with each idempotency key have run.
package recorder
