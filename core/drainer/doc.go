// Package drainer takes this VM out of service for its planned windows and
// when its process is told to stop.
package drainer
