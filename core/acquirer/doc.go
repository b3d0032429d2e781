// Package acquirer gets permits for model servers from their owner, or from
// this VM itself if no owner responds.
package acquirer
