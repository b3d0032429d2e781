// Package worker runs jobs from bounded queues on a fixed number of workers.
package worker
