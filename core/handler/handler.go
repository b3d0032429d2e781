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
	Configurer *configurer.Configurer
	Guard      *quarantiner.Quarantiner
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
	return h.Owner.Ask(request, told)
}

// Release takes a permit back.
func (h *Handler) Release(release dragonflypass.PermitRelease) { h.Owner.Release(release) }

// Exchange takes a heartbeat and returns this VM's own.
func (h *Handler) Exchange(beat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	return h.Detector.Exchange(beat)
}

// Entries returns configuration entries from the offset on.
func (h *Handler) Entries(from dragonflypass.Offset) dragonflypass.Page {
	if h.Configurer == nil {
		return dragonflypass.Page{}
	}
	return h.Configurer.Entries(from)
}

// Report takes word of a crash.
func (h *Handler) Report(crash dragonflypass.Crash) {
	if h.Guard.Crashed(crash) {
		h.Owner.Recheck()
	}
}

// Prefilled notes that a permit's prompt has been processed.
func (h *Handler) Prefilled(stream dragonflypass.StreamID) { h.Owner.Prefilled(stream) }
