// Package waiter lets a goroutine wait for a span of the timer service's time.
package waiter
