// Command standin runs the cases of the review: it starts entry VMs as separate processes on loopback addresses, beside
// stand-ins of the metadata store, backend servers, callers and the network between the entry VMs, and checks one rule on
// what callers, servers and the store have seen.
package main
