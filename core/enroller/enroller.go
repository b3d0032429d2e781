package enroller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// callTimeout is the maximum time of one attempt to register this VM, and retryInterval the time between two attempts.
	callTimeout   = 2 * time.Second
	retryInterval = time.Second
	// maxRestoreDelay is the maximum time from a restore of the store to the first attempt. All VMs learn of the restore at
	// nearly the same time, while the store serves the reads that follow it.
	maxRestoreDelay = 2 * time.Second
)

// Enroller keeps this VM registered in the store.
type Enroller struct {
	Self   dragonflypass.VM
	Timer  dragonflypass.Timer
	Store  dragonflypass.Store
	Logger dragonflypass.Logger

	mutex locker.Mutex
	// era is the newest known era of the store, and registeredEra the one in which this VM was registered last.
	era           dragonflypass.Era
	registeredEra dragonflypass.Era
	registered    bool
	// started is set by Run, and pending from the scheduling of an attempt until its end.
	started bool
	pending bool
}

// New returns an enroller of a VM that is not registered.
func New() *Enroller { return &Enroller{mutex: locker.Mutex{Order: locker.Members}} }

// Run registers this VM and keeps it registered until ctx ends.
func (e *Enroller) Run(ctx context.Context) {
	e.mutex.Lock()
	e.started, e.pending = true, true
	e.mutex.Unlock()
	e.register(ctx)
	<-ctx.Done()
}

// NoteEra registers this VM again, with a random delay, unless it was registered in the era.
func (e *Enroller) NoteEra(era dragonflypass.Era) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.era = max(e.era, era)
	if e.started {
		e.schedule(rand.N(maxRestoreDelay))
	}
}

// schedule schedules an attempt if one is needed and none is pending. It is called with the mutex held.
func (e *Enroller) schedule(delay time.Duration) {
	isRegistered := e.registered && e.registeredEra >= e.era
	if isRegistered || e.pending {
		return
	}
	e.pending = true
	e.Timer.At(dragonflypass.JobMembers, e.Timer.Now().Add(delay), e.register)
}

// register makes one attempt and schedules the next one if it is needed.
func (e *Enroller) register(ctx context.Context) {
	e.mutex.Lock()
	before := e.era
	e.mutex.Unlock()
	callCtx, cancel := e.Timer.WithDeadline(ctx, e.Timer.Now().Add(callTimeout))
	stated, err := e.Store.RegisterMember(callCtx, e.Self)
	cancel()
	if err != nil && ctx.Err() == nil {
		e.Logger.Warn("VM not registered in the store", "error", err)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.pending = false
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		e.schedule(retryInterval)
		return
	}
	// Without a stated era, the store may have been restored since the call began.
	e.registered, e.registeredEra = true, cmp.Or(stated, before)
	e.era = max(e.era, stated)
	e.schedule(rand.N(maxRestoreDelay))
}
