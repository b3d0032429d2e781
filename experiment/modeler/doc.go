// Package modeler runs the core's scheduling decisions in virtual time against modelled backend servers,
// to compare policies. It does not model the network.
package modeler
