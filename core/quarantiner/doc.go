// Package quarantiner detects requests that crash the backend servers that execute them, and prevents further executions.
package quarantiner
