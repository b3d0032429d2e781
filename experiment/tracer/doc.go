// Package tracer generates seeded traces of requests that resemble those of the two sites.
package tracer
