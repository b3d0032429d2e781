package keeper

import (
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
)

// Keeper holds the streams, the list and the faults to show.
type Keeper struct {
	// Retention is the time for which records are kept.
	Retention time.Duration
	// Lag is the time by which the list of VMs trails.
	Lag time.Duration
	// Weights limits the reads of the weight store.
	Weights *rate.Limiter

	mutex   sync.Mutex
	streams map[string]*stream
	lists   []dated
	faults  Faults
	appends int
}

type stream struct {
	first   uint64
	entries []appender.Entry
}

type dated struct {
	at   time.Time
	list lister.List
}

// Faults are the failures that the keeper shows.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// Lose is the number of appends whose answer is lost after they took effect.
	Lose int `json:"lose"`
}

// New returns a keeper with empty streams.
func New(retention time.Duration) *Keeper {
	const weightsPerSecond = 2
	return &Keeper{
		Retention: retention,
		Weights:   rate.NewLimiter(weightsPerSecond, weightsPerSecond),
		streams:   make(map[string]*stream),
	}
}

// Append adds a record to the stream; answered is false when the answer is to be lost.
func (k *Keeper) Append(name string, data json.RawMessage) (offset uint64, answered bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.stream(name)
	offset = s.next()
	s.entries = append(s.entries, appender.Entry{Offset: offset, At: time.Now(), Data: data})
	k.appends++
	if k.faults.Lose > 0 {
		k.faults.Lose--
		return offset, false
	}
	return offset, true
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.entries)) }

// stream is called with the mutex held.
func (k *Keeper) stream(name string) *stream {
	s, ok := k.streams[name]
	if !ok {
		s = &stream{first: 1}
		k.streams[name] = s
	}
	return s
}

// Read returns up to limit entries from the offset on; kept is false when the offset is no longer kept.
func (k *Keeper) Read(name string, from uint64, limit int) (page appender.Page, kept bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.stream(name)
	s.trim(time.Now().Add(-k.Retention))
	page = appender.Page{First: s.first, Next: s.next()}
	if from < s.first {
		return page, false
	}
	if from < s.next() {
		start := int(from - s.first)
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
	s.first += uint64(n)
}

// SetVMs replaces the list of VMs, which shows after the lag.
func (k *Keeper) SetVMs(list lister.List) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lists = append(k.lists, dated{at: time.Now(), list: list})
}

// VMs returns the list of Lag ago.
func (k *Keeper) VMs() lister.List {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var shown lister.List
	for _, d := range k.lists {
		if time.Since(d.at) >= k.Lag {
			shown = d.list
		}
	}
	return shown
}

// SetFaults sets the failures to show.
func (k *Keeper) SetFaults(faults Faults) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.faults = faults
}

// Down reports whether calls fail.
func (k *Keeper) Down() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.faults.Down
}

// Appends returns the number of records added.
func (k *Keeper) Appends() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.appends
}
