// Package configurer keeps the configuration in force: what the order of the
// platform's log makes of the operators' changes.
package configurer
