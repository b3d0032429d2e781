// Package loader reads and validates the settings of an entry VM.
package loader
