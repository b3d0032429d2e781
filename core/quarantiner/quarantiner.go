package quarantiner

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultLimit is the number of crashes at which a request is quarantined.
	defaultLimit = 2
	// suspectTime is how long a request stays suspect without a further crash.
	suspectTime = 10 * time.Minute
	// quarantineTime is how long a request stays quarantined.
	quarantineTime = time.Hour
	// spreadTime is the time in which word of a crash reaches the other entry VMs.
	spreadTime = time.Second
	// provenTime is how long a request counts as harmless after it ran to its end.
	provenTime = 10 * time.Minute
	// provenLimit is the largest number of requests that are remembered as harmless.
	provenLimit = 50_000
)

// Decision tells whether a request may run.
type Decision uint8

// The verdicts.
const (
	// Allowed means that the request may run anywhere.
	Allowed Decision = iota
	// AllowedAlone means that the request may run, once at a time, where no other suspect runs.
	AllowedAlone
	// Delayed means that the request may not run until word of its crash has got round.
	Delayed
	// Quarantined means that the request may not run.
	Quarantined
)

// Quarantiner keeps the table of suspects.
type Quarantiner struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// Limit is the number of crashes at which a request is quarantined.
	Limit int

	mutex    locker.Mutex
	suspects map[dragonflypass.Fingerprint]*suspect
	crashes  map[crashKey]time.Time
	proven   map[dragonflypass.Fingerprint]time.Time
}

type suspect struct {
	crashes int
	// since is the instant of the last crash.
	since time.Time
	until time.Time
}

type crashKey struct {
	server dragonflypass.ServerID
	epoch  uint64
}

// New returns a quarantiner without suspects.
func New() *Quarantiner {
	return &Quarantiner{
		Limit:    defaultLimit,
		mutex:    locker.Mutex{Order: locker.Suspects},
		suspects: make(map[dragonflypass.Fingerprint]*suspect),
		crashes:  make(map[crashKey]time.Time),
		proven:   make(map[dragonflypass.Fingerprint]time.Time),
	}
}

// RecordCrash notes that a server died while running the fingerprints and reports whether that was news.
func (q *Quarantiner) RecordCrash(crash dragonflypass.ServerCrash) bool {
	now := q.Timer.Now()
	q.mutex.Lock()
	key := crashKey{server: crash.Server, epoch: crash.Epoch}
	if _, known := q.crashes[key]; known {
		q.mutex.Unlock()
		return false
	}
	q.crashes[key] = now
	suspects := q.blame(crash.Fingerprints, now)
	quarantined := 0
	for _, fingerprint := range suspects {
		if q.accuse(fingerprint, now) {
			quarantined++
		}
	}
	q.mutex.Unlock()
	q.Meter.Add(dragonflypass.CountServerCrashed, 1)
	if quarantined > 0 {
		q.Meter.Add(dragonflypass.CountQuarantined, int64(quarantined))
		q.Logger.Warn("request quarantined", "server", crash.Server, "requests", quarantined)
	}
	return true
}

// blame returns the fingerprints that the crash may be due to: the earlier
// suspects among them if there are any, else all. It is called with the mutex held.
func (q *Quarantiner) blame(fingerprints []dragonflypass.Fingerprint, now time.Time) []dragonflypass.Fingerprint {
	var earlier []dragonflypass.Fingerprint
	for _, fingerprint := range fingerprints {
		if s, ok := q.suspects[fingerprint]; ok && now.Before(s.until) {
			earlier = append(earlier, fingerprint)
		}
	}
	if len(earlier) > 0 {
		return earlier
	}
	return fingerprints
}

// accuse counts a crash and reports whether the fingerprint is newly quarantined; it is called with the mutex held.
func (q *Quarantiner) accuse(fingerprint dragonflypass.Fingerprint, now time.Time) bool {
	s, ok := q.suspects[fingerprint]
	if !ok || !now.Before(s.until) {
		s = &suspect{}
		q.suspects[fingerprint] = s
	}
	delete(q.proven, fingerprint)
	s.crashes++
	s.since = now
	if s.crashes < q.Limit {
		s.until = now.Add(suspectTime)
		return false
	}
	s.until = now.Add(quarantineTime)
	return s.crashes == q.Limit
}

// RecordSuccess clears a request that ran to its end.
func (q *Quarantiner) RecordSuccess(fingerprint dragonflypass.Fingerprint) {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.proven) < provenLimit {
		q.proven[fingerprint] = now
	}
	if s, ok := q.suspects[fingerprint]; ok && s.crashes < q.Limit {
		delete(q.suspects, fingerprint)
	}
}

// Proven reports whether the request ran to its end lately, so that copies of it may run at once.
func (q *Quarantiner) Proven(fingerprint dragonflypass.Fingerprint) bool {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	at, ok := q.proven[fingerprint]
	return ok && now.Sub(at) < provenTime
}

// Check returns whether the fingerprint may run.
func (q *Quarantiner) Check(fingerprint dragonflypass.Fingerprint) Decision {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok {
		return Allowed
	}
	if !now.Before(s.until) {
		delete(q.suspects, fingerprint)
		return Allowed
	}
	switch {
	case s.crashes >= q.Limit:
		return Quarantined
	case now.Sub(s.since) < spreadTime:
		return Delayed
	}
	return AllowedAlone
}

// Sweep forgets crashes and suspects whose time has passed.
func (q *Quarantiner) Sweep() {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for key, at := range q.crashes {
		if now.Sub(at) > quarantineTime {
			delete(q.crashes, key)
		}
	}
	for fingerprint, at := range q.proven {
		if now.Sub(at) > provenTime {
			delete(q.proven, fingerprint)
		}
	}
	for fingerprint, s := range q.suspects {
		if !now.Before(s.until) {
			delete(q.suspects, fingerprint)
		}
	}
}

// Suspect is one suspect in a dump.
type Suspect struct {
	Account dragonflypass.AccountID
	Model   dragonflypass.ModelID
	Crashes int
	Until   time.Time
}

// Suspects returns the suspects for a dump.
func (q *Quarantiner) Suspects() []Suspect {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	rows := make([]Suspect, 0, len(q.suspects))
	for fingerprint, s := range q.suspects {
		rows = append(rows, Suspect{Account: fingerprint.Account, Model: fingerprint.Model, Crashes: s.crashes, Until: s.until})
	}
	return rows
}
