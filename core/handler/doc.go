// Package handler answers the other entry VMs.
package handler
