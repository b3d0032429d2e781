// Command standin runs small stand-ins for the outside systems, for tests and
// demonstrations.
package main
