// Package scheduler is the owner's side of permits: it queues requests for the
// backend servers that this VM owns, accounts for their memory, grants permits
// and takes back what a request held.
package scheduler
