// Package throttler limits the requests to backend servers that are warming up: all VMs together must not send them more than
// they tolerate.
package throttler
