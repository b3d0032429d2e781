// Package responder is the HTTP front end for callers.
package responder
