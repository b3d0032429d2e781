// Package starter runs a small site in one process, on free loopback ports: the
// real components of several entry VMs, with stand-ins for the external systems.
package starter
