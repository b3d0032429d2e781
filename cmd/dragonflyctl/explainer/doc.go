// Package explainer assembles the history of one request from the logs of
// several entry VMs.
package explainer
