// Package claimer sends calls that must not be repeated, each at most once for its
// idempotency key. Each VM appends a claim for the call's key to the platform's log;
// only the VM whose claim comes first in the log may send the call.
package claimer
