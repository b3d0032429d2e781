// Package watcher fetches the load reports of the backend servers that this VM
// owns and reports crashes to the other entry VMs.
package watcher
