// Package composer builds the components of an entry VM and connects them to each other. Every front end, benchmark and
// test builds its nodes with it.
package composer
