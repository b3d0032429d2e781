// Package prober checks over its own connections whether backend servers can be reached
// after a request has failed or another VM has stopped responding.
package prober
