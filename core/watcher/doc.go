// Package watcher reads the load reports of the backend servers that this VM
// owns and tells the other VMs of crashes.
package watcher
