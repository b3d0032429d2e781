// Package modeler drives the decisions of the core in virtual time against
// modelled backend servers, to measure policies. It models no network.
package modeler
