// Package storer is a stand-in for the platform's metadata store: an
// append-only log over HTTP, kept in memory, with simulated outages and
// restores from an old copy. It implements the part of the protocol that the
// relay uses: appends, reads that wait for records, trims and the latest record
// of each key. Consumer groups and producers are not implemented.
package storer
