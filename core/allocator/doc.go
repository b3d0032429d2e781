// Package allocator is the owner's side of permits for model servers whose
// engine has a known cost model: it selects the server, and any helpers, that
// process a prompt.
package allocator
