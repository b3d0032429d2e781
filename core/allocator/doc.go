// Package allocator is the owner's side of permits for model servers whose
// engine law is known: it decides at which server, and with which helpers, a
// prompt is processed.
package allocator
