// Package prober checks over its own connections whether backend servers can be reached,
// after a failed request or an unresponsive VM.
package prober
