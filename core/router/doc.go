// Package router holds the route table in effect, finds the route and the client account of a request, and restricts
// decisions while the table may be out of date.
package router
