// Package claimer lets a call that may not be repeated run at most once: the
// order of the platform's log decides which claim for its key may send it.
package claimer
