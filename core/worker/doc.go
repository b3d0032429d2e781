// Package worker runs jobs from bounded queues on a fixed number of goroutines.
package worker
