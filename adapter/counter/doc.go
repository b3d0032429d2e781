// Package counter keeps the metrics of a process and shows them by expvar.
package counter
