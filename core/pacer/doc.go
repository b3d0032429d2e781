// Package pacer learns how fast each backend server is, relative to what is predicted for it and to the other servers of its
// service.
package pacer
