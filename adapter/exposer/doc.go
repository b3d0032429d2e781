// Package exposer serves the diagnostic pages of an entry VM that relays
// exchanges: the metrics as text and as JSON, and a dump of the state as JSON.
package exposer
