// Package administrator is the HTTP front end for operators: metrics, a dump of the state, configuration changes, claims and draining.
package administrator
