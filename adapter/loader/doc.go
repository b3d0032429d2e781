// Package loader reads and checks the settings of an entry VM's process.
package loader
