// Package locker provides the mutexes of the shared tables. When enabled, it checks
// that each goroutine locks them in the lock order.
package locker
