// Package tracer makes seeded traces of requests like those of the two sites.
package tracer
