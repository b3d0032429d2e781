// Package registrar maintains the table of backend servers in the platform's registry, and returns those that accept
// requests.
package registrar
