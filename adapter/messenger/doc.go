// Package messenger exchanges CBOR messages between entry VMs over WebSocket
// connections.
package messenger
