// Package dragonflypass defines the core types of the serving layer, the ports
// (interfaces) through which it reaches other systems, and the errors of those ports.
package dragonflypass
