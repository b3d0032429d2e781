// Package planner evaluates the maintenance windows in advance: which models
// should be loaded on other servers, which zones and models the windows leave
// without a VM or server, and how far each window has progressed.
package planner
