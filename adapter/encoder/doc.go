// Package encoder turns records and configuration items into their JSON forms
// and back.
package encoder
