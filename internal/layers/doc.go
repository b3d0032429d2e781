// Package layers contains tests that the core packages depend neither on message encodings nor on adapters,
// and that no source file outside a few listed folders uses the names of the platform's messages.
package layers
