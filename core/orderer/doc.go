// Package orderer has the owned backend servers load the models that they are
// to run, under fencing numbers from the platform's log.
package orderer
