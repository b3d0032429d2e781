// Package configurer maintains the configuration in effect. It applies the
// operators' changes in the order of the platform's log.
package configurer
