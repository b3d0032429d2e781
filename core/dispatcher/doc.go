// Package dispatcher is the entry VM's side of a request: it gets a permit from
// an owner, streams from the backend server, resumes what breaks and ends the
// request by its deadline.
package dispatcher
