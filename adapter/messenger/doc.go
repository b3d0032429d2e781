// Package messenger carries what entry VMs say to each other, as CBOR messages
// over WebSocket connections.
package messenger
