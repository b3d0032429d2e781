// Package streamer is the HTTP client of the model engines.
package streamer
