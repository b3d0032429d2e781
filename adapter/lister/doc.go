// Package lister is the HTTP client of the platform's list of VMs.
package lister
