// Package router holds the operators' route table in force, finds the route and
// the client account of a request, and tells how far the table may be trusted.
package router
