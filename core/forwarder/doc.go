// Package forwarder routes calls of plain services to their endpoints.
package forwarder
