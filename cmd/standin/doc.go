// Command standin runs simplified stand-ins for the external systems, for
// tests and demonstrations.
package main
