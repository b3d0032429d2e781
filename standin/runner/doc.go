// Package runner is a stand-in for the platform's backend servers. A plain
// server responds after a fixed time. A model server runs the passes of the
// published cost model, prefills prompt parts for other servers and accepts
// memory reservations. Both can simulate faults.
package runner
