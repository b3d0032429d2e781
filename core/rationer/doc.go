// Package rationer decides which clients get memory, places for request bodies and connections at one entry VM. A part of each is
// reserved for clients that have none, and whoever makes no progress gives way to others when there is none left.
package rationer
