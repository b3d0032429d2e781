// Package relayer serves exchanges: it sends a caller's request to backend
// servers as often as its route, its time and the retry budget allow, and
// passes the answer on unchanged.
package relayer
