// Package layers contains tests that the core packages are independent of message encodings and adapters.
package layers
