// Package examples contains the settings, configurations and sheets of two
// example sites.
package examples
