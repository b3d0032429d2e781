// Package assessor judges backend servers by how requests to them end, and
// tells which ones are to be left out for a time.
package assessor
