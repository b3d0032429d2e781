package handler

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
)

// Handler passes what other entry VMs say to the parts concerned.
type Handler struct {
	Owner    dragonflypass.Owner
	Detector *detector.Detector
	// Configurer is nil where the platform keeps the configuration.
	Configurer  *configurer.Configurer
	Quarantiner *quarantiner.Quarantiner
	// Refuse returns why this VM grants no permits, nil while it does.
	Refuse func() *dragonflypass.Refusal
}

var _ dragonflypass.PeerHandler = (*Handler)(nil)

// Acquire queues a request for a permit of this VM.
func (h *Handler) Acquire(request dragonflypass.PermitRequest, told func(dragonflypass.Permit, error)) (withdraw func()) {
	if refusal := h.Refuse(); refusal != nil {
		told(dragonflypass.Permit{}, refusal)
		return func() {}
	}
	return h.Owner.RequestPermit(request, told)
}

// Release takes a permit back.
func (h *Handler) Release(release dragonflypass.PermitRelease) { h.Owner.Release(release) }

// ExchangeHeartbeat takes a heartbeat and returns this VM's own.
func (h *Handler) ExchangeHeartbeat(beat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	return h.Detector.Exchange(beat)
}

// ConfigEntries returns configuration entries from the offset on.
func (h *Handler) ConfigEntries(from dragonflypass.Offset) dragonflypass.LogPage {
	if h.Configurer == nil {
		return dragonflypass.LogPage{}
	}
	return h.Configurer.ConfigEntries(from)
}

// ReportCrash takes word of a crash.
func (h *Handler) ReportCrash(crash dragonflypass.ServerCrash) {
	if h.Quarantiner.RecordCrash(crash) {
		h.Owner.RejectUnservable()
	}
}

// Prefilled notes that a permit's prompt has been processed.
func (h *Handler) Prefilled(stream dragonflypass.StreamID) { h.Owner.Prefilled(stream) }
