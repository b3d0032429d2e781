// Package assigner works out which entry VM owns each backend server, the same
// on every VM that sees the same members and configuration.
package assigner
