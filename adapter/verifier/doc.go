// Package verifier checks that the responses of HTTP servers are well-formed and complete, where net/http is lenient.
package verifier
