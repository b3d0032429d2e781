// Package planner looks ahead over the maintenance windows: what they leave
// without service, and where each of them stands.
package planner
