// Package planner evaluates the maintenance windows in advance: which models have
// to be loaded on other servers, what the windows leave without service, and how
// far each window has progressed.
package planner
