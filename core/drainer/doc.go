// Package drainer takes this VM out of service before its maintenance windows and
// when its process is stopped.
package drainer
