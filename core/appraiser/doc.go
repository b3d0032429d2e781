// Package appraiser learns the processing time and the output length of requests, from this VM's own requests and from what
// other entry VMs report of theirs.
package appraiser
