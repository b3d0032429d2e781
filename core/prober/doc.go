// Package prober finds out which backend servers can be reached, by connections
// of its own, where requests or silent VMs made that doubtful.
package prober
