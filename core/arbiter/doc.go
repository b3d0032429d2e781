// Package arbiter decides the order in which queued prompts get scarce capacity, and which of them are rejected because
// they cannot be served in time. Its functions take no locks and perform no input or output.
package arbiter
