package keeper

import (
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
)

// Keeper simulates the platform: it holds the streams of the log, the list of VMs and the simulated faults.
type Keeper struct {
	// Retention is the time after which log entries are deleted.
	Retention time.Duration
	// ListDelay is the delay before a new list of VMs takes effect.
	ListDelay time.Duration
	// Weights limits the rate of reads from the weight store.
	Weights *rate.Limiter

	mutex   sync.Mutex
	streams map[string]*stream
	lists   []datedList
	faults  Faults
	appends int
}

type stream struct {
	firstOffset uint64
	entries     []appender.Entry
}

type datedList struct {
	at   time.Time
	list lister.List
}

// Faults are the failures that the keeper simulates.
type Faults struct {
	// Down makes every call fail without an effect.
	Down bool `json:"down"`
	// LostResponses is the number of upcoming appends that are executed without a response.
	LostResponses int `json:"lose"`
}

// New returns a keeper without streams; log entries are deleted after the retention time.
func New(retention time.Duration) *Keeper {
	const weightsPerSecond = 2
	return &Keeper{
		Retention: retention,
		Weights:   rate.NewLimiter(weightsPerSecond, weightsPerSecond),
		streams:   make(map[string]*stream),
	}
}

// Append adds an entry to the stream; respond is false when a lost response is simulated.
func (k *Keeper) Append(name string, data json.RawMessage) (offset uint64, respond bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.stream(name)
	offset = s.nextOffset()
	s.entries = append(s.entries, appender.Entry{Offset: offset, At: time.Now(), Data: data})
	k.appends++
	if k.faults.LostResponses > 0 {
		k.faults.LostResponses--
		return offset, false
	}
	return offset, true
}

func (s *stream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.entries)) }

// stream returns the stream and creates it if needed. The caller holds the mutex.
func (k *Keeper) stream(name string) *stream {
	s, ok := k.streams[name]
	if !ok {
		s = &stream{firstOffset: 1}
		k.streams[name] = s
	}
	return s
}

// Read returns up to limit entries starting at the offset; retained is false when the entry at the offset has been deleted.
func (k *Keeper) Read(name string, from uint64, limit int) (page appender.Page, retained bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.stream(name)
	s.trim(time.Now().Add(-k.Retention))
	page = appender.Page{FirstOffset: s.firstOffset, NextOffset: s.nextOffset()}
	if from < s.firstOffset {
		return page, false
	}
	if from < s.nextOffset() {
		start := int(from - s.firstOffset)
		page.Entries = s.entries[start:min(len(s.entries), start+limit)]
	}
	return page, true
}

func (s *stream) trim(before time.Time) {
	n := 0
	for n < len(s.entries) && s.entries[n].At.Before(before) {
		n++
	}
	s.entries = s.entries[n:]
	s.firstOffset += uint64(n)
}

// SetVMs replaces the list of VMs; VMs returns the new list once ListDelay has passed.
func (k *Keeper) SetVMs(list lister.List) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lists = append(k.lists, datedList{at: time.Now(), list: list})
}

// VMs returns the latest list of VMs that is at least ListDelay old, or an empty list.
func (k *Keeper) VMs() lister.List {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var current lister.List
	for _, d := range k.lists {
		if time.Since(d.at) >= k.ListDelay {
			current = d.list
		}
	}
	return current
}

// SetFaults sets the failures to simulate.
func (k *Keeper) SetFaults(faults Faults) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.faults = faults
}

// Down reports whether all calls fail.
func (k *Keeper) Down() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.faults.Down
}

// Appends returns the number of appended entries.
func (k *Keeper) Appends() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.appends
}
