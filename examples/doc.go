// Package examples holds the settings, configurations and sheets of two sites.
package examples
