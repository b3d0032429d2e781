// Package runner is a stand-in for the platform's backend servers: plain ones
// that answer after a time, and model servers that work in the passes of the
// published law, help each other and set memory aside, with faults.
package runner
