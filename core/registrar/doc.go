// Package registrar keeps the table of backend servers that the platform's
// registry names, and tells which of them may be given work.
package registrar
