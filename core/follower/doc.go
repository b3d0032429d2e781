// Package follower keeps a copy of a topic of the platform's store. It knows up
// to which instant the copy is proved current, by reads of its own or by those
// of other entry VMs that were asked.
package follower
