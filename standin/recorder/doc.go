// Package recorder is a small stand-in for a plain service: it counts the
// calls that it ran, by their idempotency key.
package recorder
