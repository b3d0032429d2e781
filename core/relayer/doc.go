// Package relayer serves exchanges: it sends a caller's request to backend
// servers, with as many attempts as the route, the deadline and the retry
// budget allow, and forwards the response unchanged.
package relayer
