// Package placer orders the owners or backend servers at which a request may
// run; its policies stand behind one interface so that they can be compared.
package placer
