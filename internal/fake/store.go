package fake

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// storeLatency is the duration of one store call.
const storeLatency = 2 * time.Millisecond

// Store is an in-memory metadata store of the platform that can inject faults.
type Store struct {
	mutex sync.Mutex
	// topics maps each topic to the latest record of each key; a removed key has a record with empty Raw.
	topics map[dragonflypass.Topic]map[string]dragonflypass.Update
	// history holds all records of each topic, by offset.
	history    map[dragonflypass.Topic][]dragonflypass.Update
	endOffsets map[dragonflypass.Topic]dragonflypass.Offset
	// trimOffsets maps each topic to the first offset whose changes are retained.
	trimOffsets map[dragonflypass.Topic]dragonflypass.Offset
	// recordsByRaw maps the raw form of each record to the record, for Decode.
	recordsByRaw map[string]dragonflypass.Update
	changed      chan struct{}
	calls        int
	down         bool
	// pageLimit is the largest number of records that Changes returns, zero for no limit.
	pageLimit int
	// era is the current era, and times holds the time at which each record of the history was written.
	era   dragonflypass.Era
	times map[dragonflypass.Topic][]time.Time
	// eraWithheld is set while responses do not state the era.
	eraWithheld bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics:       make(map[dragonflypass.Topic]map[string]dragonflypass.Update),
		history:      make(map[dragonflypass.Topic][]dragonflypass.Update),
		endOffsets:   make(map[dragonflypass.Topic]dragonflypass.Offset),
		trimOffsets:  make(map[dragonflypass.Topic]dragonflypass.Offset),
		recordsByRaw: make(map[string]dragonflypass.Update),
		changed:      make(chan struct{}),
		times:        make(map[dragonflypass.Topic][]time.Time),
		era:          1,
	}
}

// Restore replaces the content by a copy of the given age: the records that were written since are lost. It starts a new era.
func (s *Store) Restore(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copiedAt := time.Now().Add(-age)
	for topic, history := range s.history {
		kept, _ := slices.BinarySearchFunc(s.times[topic], copiedAt, time.Time.Compare)
		s.history[topic], s.times[topic] = slices.Clone(history[:kept]), s.times[topic][:kept]
		s.endOffsets[topic] = dragonflypass.Offset(kept)
		s.trimOffsets[topic] = min(s.trimOffsets[topic], s.endOffsets[topic])
		clear(s.topics[topic])
		for _, update := range s.history[topic] {
			s.topics[topic][update.Key] = update
		}
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEraWithheld sets whether responses do not state the era.
func (s *Store) SetEraWithheld(withheld bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.eraWithheld = withheld
}

// statedEra returns the era that responses state. It is called with the mutex held.
func (s *Store) statedEra() dragonflypass.Era {
	if s.eraWithheld {
		return 0
	}
	return s.era
}

// SetDown sets whether every call fails with ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// SetPageLimit sets the largest number of records that Changes returns.
func (s *Store) SetPageLimit(records int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pageLimit = records
}

// Calls returns the number of calls so far, including failed ones.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Put writes a record under the key of the update; an update without a record or error removes the key.
func (s *Store) Put(topic dragonflypass.Topic, update dragonflypass.Update) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.topics[topic] == nil {
		s.topics[topic] = make(map[string]dragonflypass.Update)
	}
	update.Offset = s.endOffsets[topic]
	s.endOffsets[topic]++
	if update.Table != nil || update.EvacuatedZone != "" || update.Server != nil || update.Member != nil || update.Err != nil {
		update.Raw = []byte(string(topic) + " " + strconv.FormatUint(uint64(s.era), 10) + " " + strconv.FormatUint(uint64(update.Offset), 10))
		s.recordsByRaw[string(update.Raw)] = update
	}
	s.topics[topic][update.Key] = update
	s.history[topic] = append(s.history[topic], update)
	s.times[topic] = append(s.times[topic], time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// Trim makes Changes return ErrTrimmed for all changes of the topic so far, and discards the records of removed keys.
func (s *Store) Trim(topic dragonflypass.Topic) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trimOffsets[topic] = s.endOffsets[topic]
	for key, update := range s.topics[topic] {
		if len(update.Raw) == 0 {
			delete(s.topics[topic], key)
		}
	}
}

// beginCall counts a call and waits for the latency. It returns ErrUnavailable while the store is down, or ErrUncertain if ctx ends.
func (s *Store) beginCall(ctx context.Context) error {
	if err := wait(ctx, storeLatency); err != nil {
		return dragonflypass.ErrUncertain
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return dragonflypass.ErrUnavailable
	}
	return nil
}

// readPage returns the records starting at the offset, and a channel that is closed when the next record is written or the
// store is restored. The error is ErrTrimmed if the store does not have the offset, or ErrTruncated.
func (s *Store) readPage(topic dragonflypass.Topic, from dragonflypass.Offset) (dragonflypass.UpdatePage, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := dragonflypass.UpdatePage{Era: s.statedEra()}
	if from < s.trimOffsets[topic] || from > s.endOffsets[topic] {
		return page, nil, dragonflypass.ErrTrimmed
	}
	if s.pageLimit > 0 && int(s.endOffsets[topic]-from) > s.pageLimit {
		return page, nil, dragonflypass.ErrTruncated
	}
	page.EndOffset, page.Updates = s.endOffsets[topic], slices.Clone(s.history[topic][from:])
	return page, s.changed, nil
}

// latest returns the latest record of each key, without removed keys.
func (s *Store) latest(topic dragonflypass.Topic) dragonflypass.UpdatePage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := dragonflypass.UpdatePage{Era: s.statedEra(), EndOffset: s.endOffsets[topic]}
	for _, key := range slices.Sorted(maps.Keys(s.topics[topic])) {
		if update := s.topics[topic][key]; len(update.Raw) > 0 {
			page.Updates = append(page.Updates, update)
		}
	}
	return page
}

// Latest returns the latest record of each key of the topic, without removed keys.
func (s *Store) Latest(ctx context.Context, topic dragonflypass.Topic) (dragonflypass.UpdatePage, error) {
	if err := s.beginCall(ctx); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	return s.latest(topic), nil
}

// Changes returns the records of the topic starting at the offset. If there are none, it waits up to maxWait for the first one.
// It returns ErrTrimmed if the offset is no longer retained, ErrTruncated if there are more records than the page limit,
// ErrUnavailable, or ErrUncertain if ctx ends.
func (s *Store) Changes(ctx context.Context, topic dragonflypass.Topic, from dragonflypass.Offset, maxWait time.Duration) (dragonflypass.UpdatePage, error) {
	if err := s.beginCall(ctx); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		page, changed, err := s.readPage(topic, from)
		if err != nil || len(page.Updates) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, dragonflypass.ErrUncertain
		}
	}
}

// RegisterMember writes an entry VM to the members topic.
func (s *Store) RegisterMember(ctx context.Context, vm dragonflypass.VM) (dragonflypass.Era, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.Put(dragonflypass.TopicMembers, dragonflypass.Update{Key: string(vm.ID), Member: &vm})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.statedEra(), nil
}

// Decode returns the record that was written with this raw form, or an empty update if there is none.
func (s *Store) Decode(_ dragonflypass.Topic, key string, offset dragonflypass.Offset, raw []byte) dragonflypass.Update {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if update, ok := s.recordsByRaw[string(raw)]; ok {
		update.Offset = offset
		return update
	}
	return dragonflypass.Update{Key: key, Offset: offset}
}

// VMs returns the entry VMs in the members topic.
func (s *Store) VMs(ctx context.Context) ([]dragonflypass.PlatformVM, error) {
	page, err := s.Latest(ctx, dragonflypass.TopicMembers)
	if err != nil {
		return nil, err
	}
	var vms []dragonflypass.PlatformVM
	for _, update := range page.Updates {
		if m := update.Member; m != nil {
			vms = append(vms, dragonflypass.PlatformVM{ID: m.ID, Zone: m.Zone, Peer: m.Peer})
		}
	}
	return vms, nil
}

// StoreAccess is the access of one VM to the store. All calls fail while it is disconnected.
type StoreAccess struct {
	*Store

	mutex        sync.Mutex
	disconnected bool
}

// SetDisconnected disconnects the VM from the store or reconnects it.
func (a *StoreAccess) SetDisconnected(disconnected bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.disconnected = disconnected
}

// checkConnected returns ErrUnavailable while the VM is disconnected.
func (a *StoreAccess) checkConnected() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.disconnected {
		return dragonflypass.ErrUnavailable
	}
	return nil
}

// Latest calls Store.Latest; it returns ErrUnavailable while the VM is disconnected.
func (a *StoreAccess) Latest(ctx context.Context, topic dragonflypass.Topic) (dragonflypass.UpdatePage, error) {
	if err := a.checkConnected(); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	return a.Store.Latest(ctx, topic)
}

// Changes calls Store.Changes; it returns ErrUnavailable while the VM is disconnected.
func (a *StoreAccess) Changes(ctx context.Context, topic dragonflypass.Topic, from dragonflypass.Offset, maxWait time.Duration) (dragonflypass.UpdatePage, error) {
	if err := a.checkConnected(); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	return a.Store.Changes(ctx, topic, from, maxWait)
}

// RegisterMember calls Store.RegisterMember; it returns ErrUnavailable while the VM is disconnected.
func (a *StoreAccess) RegisterMember(ctx context.Context, vm dragonflypass.VM) (dragonflypass.Era, error) {
	if err := a.checkConnected(); err != nil {
		return 0, err
	}
	return a.Store.RegisterMember(ctx, vm)
}

// VMs calls Store.VMs; it returns ErrUnavailable while the VM is disconnected.
func (a *StoreAccess) VMs(ctx context.Context) ([]dragonflypass.PlatformVM, error) {
	if err := a.checkConnected(); err != nil {
		return nil, err
	}
	return a.Store.VMs(ctx)
}
