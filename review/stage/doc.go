// Stage plays the scripted cases of the second review. It starts entry VMs as separate processes beside stand-ins of the
// platform's store, of backend servers and of clients, all on loopback, and judges only what these have seen on their sockets.
package main
