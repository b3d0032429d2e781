// Package forwarder forwards calls of plain services, which are served in addition to the model engines, to their
// endpoints.
package forwarder
