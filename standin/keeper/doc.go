// Package keeper is a small stand-in for the platform: an append-only log with
// offsets and retention, a lagging list of VMs and a rate-limited weight store.
package keeper
