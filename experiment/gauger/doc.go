// Package gauger measures what the decisions and messages cost at two or more
// sizes, so that their growth is known.
package gauger
