// Package counter stores the metrics of a process and exports them as text and through expvar.
package counter
