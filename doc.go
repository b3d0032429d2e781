// Package dragonflypass holds the core types of the serving layer, the ports
// through which its decisions reach the outside, and the errors of those ports.
package dragonflypass
