// Package enroller registers this VM in the platform's store, and again each time that the store has been restored from a copy
// which may lack the record.
package enroller
