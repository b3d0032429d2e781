// Package mesher implements a topology in which all entry VMs of a zone exchange heartbeats with each other.
package mesher
