// Package appender is the HTTP client of the platform's append-only log.
package appender
