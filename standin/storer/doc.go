// Package storer is a stand-in for the platform's metadata store: an
// append-only log over HTTP, in memory, with outages. It holds what the
// relay's path uses of the protocol: appends, reads that wait, trims and the
// newest record of each key; groups and producers are left out.
package storer
