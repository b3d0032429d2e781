// Package invoker is the HTTP client of plain services.
package invoker
