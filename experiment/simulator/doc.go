// Package simulator runs the requests of a site in virtual time through the real allocator, against engines that
// follow their cost model exactly, to compare policies.
package simulator
