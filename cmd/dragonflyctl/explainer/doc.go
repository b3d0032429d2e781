// Package explainer puts the story of one request together from the logs of
// several entry VMs.
package explainer
