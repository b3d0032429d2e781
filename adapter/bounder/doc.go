// Package bounder reads the bodies of responses within limits on their size and on the memory of all of them together.
package bounder
