// Package balancer selects a server of a plain service for each request by the
// number of requests in flight and the load that the servers report. It avoids
// servers that are ejected after failures.
package balancer
