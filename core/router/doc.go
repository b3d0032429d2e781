// Package router holds the route table in effect, finds the route and the client account of a request, and limits what
// may be decided from a table that may be out of date.
package router
