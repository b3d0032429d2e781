// Package acceptor accepts the connections to a port within the limits of a rationer, and keeps its HTTP server from reading the
// rest of a request body that its handler did not read.
package acceptor
