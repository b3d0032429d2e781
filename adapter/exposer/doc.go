// Package exposer shows what an entry VM that relays exchanges counts and
// believes: metrics as text, all variables and a dump of the state as JSON.
package exposer
