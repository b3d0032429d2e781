// Package detector is the failure detector: it maintains the table of entry VMs with their states (live, suspect,
// leaving or gone) and assigns an owner to each key by rendezvous hashing.
package detector
