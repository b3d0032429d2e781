// Package assessor tracks the health of backend servers by the outcomes of
// requests and probes, and temporarily ejects servers that fail.
package assessor
