// Package handler serves the calls of the other entry VMs.
package handler
