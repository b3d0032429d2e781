// Package scheduler implements the owner's side of permits: it queues requests for the
// backend servers that this VM owns, accounts for their memory, grants permits and
// frees the memory when a permit ends.
package scheduler
