// Package connector implements a topology for large fleets, in which each entry VM exchanges heartbeats with a few hubs of
// its zone, and the hubs with those of other zones.
package connector
