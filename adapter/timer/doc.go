// Package timer provides the timer service: parts subscribe to periods and
// instants, and their jobs run on the pool of workers.
package timer
