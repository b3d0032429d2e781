// Package fake holds small stand-ins for the ports, for tests and experiments.
package fake
