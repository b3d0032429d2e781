// Package administrator is the HTTP front end for operators.
package administrator
