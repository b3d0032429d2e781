// Package balancer chooses among the servers of a plain service by what was
// sent to each and what each says of its load, and leaves out those that fail.
package balancer
