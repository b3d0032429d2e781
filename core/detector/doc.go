// Package detector keeps the table of entry VMs: which are live, suspect,
// leaving or gone, and which of them owns each backend server.
package detector
