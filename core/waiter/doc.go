// Package waiter waits for a duration on the clock of the timer service.
package waiter
