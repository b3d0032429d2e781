// Package fake provides in-memory implementations of the ports, for tests and experiments.
package fake
