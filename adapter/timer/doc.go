// Package timer provides the timer service, which runs jobs on the pool of
// workers periodically or at a given time.
package timer
