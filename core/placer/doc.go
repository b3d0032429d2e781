// Package placer sorts the owners or backend servers at which a request may run. Its policies
// implement one interface so that they can be compared.
package placer
