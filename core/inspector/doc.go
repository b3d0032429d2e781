// Package inspector checks the operators' route table before it is written to the store, and compares it with the version in force.
package inspector
