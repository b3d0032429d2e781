package allocator

import (
	"context"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

// Allocator grants permits for model servers.
type Allocator struct {
	Self   dragonflypass.VMID
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// Servers returns the servers of a service that may be given work.
	Servers func(service dragonflypass.ServiceID) []dragonflypass.ServerEntry

	mutex   locker.Mutex
	permits map[dragonflypass.StreamID]dragonflypass.ServerID
	counts  map[dragonflypass.ServerID]int
}

// New returns an allocator that has granted nothing.
func New() *Allocator {
	return &Allocator{
		mutex:   locker.Mutex{Order: locker.Servers},
		permits: make(map[dragonflypass.StreamID]dragonflypass.ServerID),
		counts:  make(map[dragonflypass.ServerID]int),
	}
}

// Acquire waits for a permit.
func (a *Allocator) Acquire(_ context.Context, request dragonflypass.PermitRequest) (dragonflypass.Permit, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var best dragonflypass.ServerEntry
	for _, entry := range a.Servers(request.Service) {
		if slices.Contains(request.Exclude, entry.ID) {
			continue
		}
		if best.ID == "" || a.counts[entry.ID] < a.counts[best.ID] {
			best = entry
		}
	}
	if best.ID == "" {
		return dragonflypass.Permit{}, dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second/5, "no server of the service is known")
	}
	a.counts[best.ID]++
	a.permits[request.Stream] = best.ID
	return dragonflypass.Permit{Stream: request.Stream, Owner: a.Self, Server: best.ID, Address: best.Address, Priority: -1, First: 2 * time.Second}, nil
}

// Prefilled notes that the permit's prompt has been processed.
func (a *Allocator) Prefilled(dragonflypass.Permit) {}

// Release returns the permit.
func (a *Allocator) Release(permit dragonflypass.Permit, _ dragonflypass.PermitRelease) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if server, ok := a.permits[permit.Stream]; ok {
		delete(a.permits, permit.Stream)
		a.counts[server]--
	}
}
