// Package locker provides the mutexes of the shared tables and checks, when
// asked to, that they are taken in the stated order.
package locker
