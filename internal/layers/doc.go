// Package layers holds the test that the decisions stay apart from encodings.
package layers
