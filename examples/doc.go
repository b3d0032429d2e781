// Package examples contains the settings, configurations and sheets of two
// example sites, and scripts that run a small site on loopback.
package examples
