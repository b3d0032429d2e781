// Package starter runs a whole small site in one process, on free loopback
// ports, with the stand-ins around real entry VM processes' parts.
package starter
