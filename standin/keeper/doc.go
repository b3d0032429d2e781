// Package keeper is a small stand-in for the platform: an append-only log with
// offsets and retention, a list of VMs with a delay and a rate-limited weight
// store.
package keeper
