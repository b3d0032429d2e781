// Package follower keeps a local copy of a topic of the platform's store, and the uptime as of which the copy is known to
// be current. It reads the store itself or receives the updates from entry VMs that have read it.
package follower
