// Package dispatcher serves a request on its entry VM: it gets a permit from an
// owner, streams the answer from the backend server, resumes broken streams and
// ends the request by its deadline.
package dispatcher
