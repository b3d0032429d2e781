// Package gauger measures the cost of decisions and messages at two or more sizes, to show how it grows
// with the size.
package gauger
