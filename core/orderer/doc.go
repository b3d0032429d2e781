// Package orderer instructs the owned backend servers to load and unload models
// as configured, with fencing numbers from the platform's log.
package orderer
