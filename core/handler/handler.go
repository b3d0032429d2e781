package handler

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

// Handler passes the calls of other entry VMs to the components that serve them.
type Handler struct {
	Owner    dragonflypass.Owner
	Detector *detector.Detector
	// Configurer is nil on VMs whose configuration is stored by the platform.
	Configurer  *configurer.Configurer
	Quarantiner *quarantiner.Quarantiner
	// Refuse returns the reason why this VM does not grant permits, or nil if it does.
	Refuse func() *dragonflypass.Refusal
	// ForwardCrash forwards a new crash report to other VMs; nil if every VM is told by the one that noticed the crash.
	ForwardCrash func(dragonflypass.ServerCrash)
}

var _ dragonflypass.PeerHandler = (*Handler)(nil)

// Acquire queues a request for a permit from this VM; done is called once unless withdraw is called before.
func (h *Handler) Acquire(request dragonflypass.PermitRequest, done func(dragonflypass.Permit, error)) (withdraw func()) {
	if refusal := h.Refuse(); refusal != nil {
		done(dragonflypass.Permit{}, refusal)
		return func() {}
	}
	return h.Owner.RequestPermit(request, done)
}

// Release handles the return of a permit.
func (h *Handler) Release(release dragonflypass.PermitRelease) { h.Owner.Release(release) }

// ExchangeHeartbeat handles a heartbeat and returns the heartbeat of this VM.
func (h *Handler) ExchangeHeartbeat(heartbeat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	return h.Detector.ExchangeHeartbeat(heartbeat)
}

// ConfigEntries returns the configuration entries starting at the offset; without a configurer, it returns an empty page.
func (h *Handler) ConfigEntries(from dragonflypass.Offset) dragonflypass.LogPage {
	if h.Configurer == nil {
		return dragonflypass.LogPage{}
	}
	return h.Configurer.ConfigEntries(from)
}

// ReportCrash records a server crash and rejects the queued requests that can no longer be served.
func (h *Handler) ReportCrash(crash dragonflypass.ServerCrash) {
	if !h.Quarantiner.RecordCrash(crash) {
		return
	}
	h.Owner.RejectUnservable()
	if h.ForwardCrash != nil {
		h.ForwardCrash(crash)
	}
}

// Prefilled records that the prompt of the stream has been prefilled.
func (h *Handler) Prefilled(stream dragonflypass.StreamID) { h.Owner.Prefilled(stream) }
