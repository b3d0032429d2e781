// Package reserver reserves memory at model servers for prompts that do not
// fit on a single server. It renews the reservations while the request runs
// and frees them afterwards.
package reserver
