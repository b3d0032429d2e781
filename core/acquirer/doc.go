// Package acquirer gets permits for model servers from their owner, or from
// this VM itself where the owner does not answer.
package acquirer
