// Package exposer serves the diagnostic pages of an entry VM that relays
// exchanges: metrics as text, and all metrics and a dump of the state as JSON.
package exposer
