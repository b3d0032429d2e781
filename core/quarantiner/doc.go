// Package quarantiner detects requests that crash the backend servers that execute them, and parts of prompts that do so in
// different requests, and prevents further executions.
package quarantiner
