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

// storeLatency is the time of one call of the store.
const storeLatency = 2 * time.Millisecond

// Store is the platform's metadata store in memory, with its faults.
type Store struct {
	mutex sync.Mutex
	// topics hold the newest record of each key, dropped ones with an empty Raw.
	topics map[dragonflypass.Topic]map[string]dragonflypass.Update
	ends   map[dragonflypass.Topic]dragonflypass.Offset
	// trimmed is the offset before which changes are no longer kept.
	trimmed map[dragonflypass.Topic]dragonflypass.Offset
	// written holds every record by its raw form, as a decoder would find it again.
	written map[string]dragonflypass.Update
	news    chan struct{}
	calls   int
	down    bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics:  make(map[dragonflypass.Topic]map[string]dragonflypass.Update),
		ends:    make(map[dragonflypass.Topic]dragonflypass.Offset),
		trimmed: make(map[dragonflypass.Topic]dragonflypass.Offset),
		written: make(map[string]dragonflypass.Update),
		news:    make(chan struct{}),
	}
}

// SetDown makes every call fail, or work again.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Put writes a record under the update's key; one that holds nothing drops the key.
func (s *Store) Put(topic dragonflypass.Topic, update dragonflypass.Update) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.topics[topic] == nil {
		s.topics[topic] = make(map[string]dragonflypass.Update)
	}
	update.Offset = s.ends[topic]
	s.ends[topic]++
	if update.Table != nil || update.Server != nil || update.Member != nil || update.Err != nil {
		update.Raw = []byte(string(topic) + " " + strconv.FormatUint(uint64(update.Offset), 10))
		s.written[string(update.Raw)] = update
	}
	s.topics[topic][update.Key] = update
	close(s.news)
	s.news = make(chan struct{})
}

// Trim forgets the changes of the topic up to now.
func (s *Store) Trim(topic dragonflypass.Topic) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trimmed[topic] = s.ends[topic]
	for key, update := range s.topics[topic] {
		if len(update.Raw) == 0 {
			delete(s.topics[topic], key)
		}
	}
}

// enter begins a call.
func (s *Store) enter(ctx context.Context) error {
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

// page returns the records from the offset on, and a channel that is closed once there are further ones.
func (s *Store) page(topic dragonflypass.Topic, from dragonflypass.Offset) (dragonflypass.UpdatePage, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := dragonflypass.UpdatePage{EndOffset: s.ends[topic]}
	for _, key := range slices.Sorted(maps.Keys(s.topics[topic])) {
		if update := s.topics[topic][key]; update.Offset >= from {
			page.Updates = append(page.Updates, update)
		}
	}
	return page, s.news
}

// Newest returns the newest record of each key of the topic.
func (s *Store) Newest(ctx context.Context, topic dragonflypass.Topic) (dragonflypass.UpdatePage, error) {
	if err := s.enter(ctx); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	page, _ := s.page(topic, 0)
	page.Updates = slices.DeleteFunc(page.Updates, func(u dragonflypass.Update) bool { return len(u.Raw) == 0 })
	return page, nil
}

// Changes returns the records of the topic from the offset on, waiting for the first at most the span.
func (s *Store) Changes(ctx context.Context, topic dragonflypass.Topic, from dragonflypass.Offset, span time.Duration) (dragonflypass.UpdatePage, error) {
	if err := s.enter(ctx); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	s.mutex.Lock()
	trimmed := from < s.trimmed[topic]
	s.mutex.Unlock()
	if trimmed {
		return dragonflypass.UpdatePage{}, dragonflypass.ErrTrimmed
	}
	until := time.NewTimer(span)
	defer until.Stop()
	for {
		page, news := s.page(topic, from)
		if len(page.Updates) > 0 {
			return page, nil
		}
		select {
		case <-news:
		case <-until.C:
			return page, nil
		case <-ctx.Done():
			return page, dragonflypass.ErrUncertain
		}
	}
}

// RegisterMember writes an entry VM into the topic of members.
func (s *Store) RegisterMember(ctx context.Context, vm dragonflypass.VM) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.Put(dragonflypass.TopicMembers, dragonflypass.Update{Key: string(vm.ID), Member: &vm})
	return nil
}

// Decode finds the record again that was written with the raw form.
func (s *Store) Decode(_ dragonflypass.Topic, key string, offset dragonflypass.Offset, raw []byte) dragonflypass.Update {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if update, ok := s.written[string(raw)]; ok {
		update.Offset = offset
		return update
	}
	return dragonflypass.Update{Key: key, Offset: offset}
}

// VMs returns the entry VMs that announced themselves.
func (s *Store) VMs(ctx context.Context) ([]dragonflypass.PlatformVM, error) {
	page, err := s.Newest(ctx, dragonflypass.TopicMembers)
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

// StoreView is the store as one VM reaches it.
type StoreView struct {
	*Store

	mutex sync.Mutex
	cut   bool
}

// SetCut keeps the VM from the store, or lets it through again.
func (v *StoreView) SetCut(cut bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.cut = cut
}

// enter fails while the VM is cut off.
func (v *StoreView) enter() error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.cut {
		return dragonflypass.ErrUnavailable
	}
	return nil
}

// Latest is the store's Latest as this VM reaches it.
func (v *StoreView) Latest(ctx context.Context, topic dragonflypass.Topic) (dragonflypass.UpdatePage, error) {
	if err := v.enter(); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	return v.Store.Newest(ctx, topic)
}

// Changes is the store's Changes as this VM reaches it.
func (v *StoreView) Changes(ctx context.Context, topic dragonflypass.Topic, from dragonflypass.Offset, span time.Duration) (dragonflypass.UpdatePage, error) {
	if err := v.enter(); err != nil {
		return dragonflypass.UpdatePage{}, err
	}
	return v.Store.Changes(ctx, topic, from, span)
}

// VMs is the store's list of entry VMs as this VM reaches it.
func (v *StoreView) VMs(ctx context.Context) ([]dragonflypass.PlatformVM, error) {
	if err := v.enter(); err != nil {
		return nil, err
	}
	return v.Store.VMs(ctx)
}
