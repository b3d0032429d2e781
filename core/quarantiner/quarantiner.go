package quarantiner

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
)

const (
	// defaultCrashLimit is the number of crashes at which a request is quarantined.
	defaultCrashLimit = 2
	// suspectDuration is how long a request remains a suspect after its last crash.
	suspectDuration = 10 * time.Minute
	// quarantineDuration is how long a request remains quarantined after its last crash.
	quarantineDuration = time.Hour
	// crashBroadcastTime is the time within which the report of a crash reaches the other entry VMs.
	crashBroadcastTime = time.Second
	// successRetention is how long a request counts as harmless after it completed.
	successRetention = 10 * time.Minute
	// successLimit is the largest number of completed requests that are kept.
	successLimit = 50_000
)

// Decision is the result of checking whether a request may run.
type Decision uint8

// The decisions, from the least to the most restrictive.
const (
	// Allowed means that the request may run anywhere.
	Allowed Decision = iota
	// AllowedAlone means that the request may run, in one copy at a time, on a server that runs no other suspect.
	AllowedAlone
	// Delayed means that the request may not run until the report of its crash has reached the other entry VMs.
	Delayed
	// Quarantined means that the request may not run until the quarantine expires.
	Quarantined
)

// Quarantiner maintains the tables of suspects, crashes and completed requests.
type Quarantiner struct {
	Timer  dragonflypass.Timer
	Meter  dragonflypass.Meter
	Logger dragonflypass.Logger
	// CrashLimit is the number of crashes at which a request is quarantined, by default 2.
	CrashLimit int

	mutex     locker.Mutex
	suspects  map[dragonflypass.Fingerprint]*suspect
	crashes   map[crashKey]time.Time
	successes map[dragonflypass.Fingerprint]time.Time
}

// suspect is a request that was running on a server when the server crashed.
type suspect struct {
	crashes   int
	lastCrash time.Time
	expiresAt time.Time
}

type crashKey struct {
	server dragonflypass.ServerID
	epoch  uint64
}

// New returns a quarantiner with empty tables.
func New() *Quarantiner {
	return &Quarantiner{
		CrashLimit: defaultCrashLimit,
		mutex:      locker.Mutex{Order: locker.Suspects},
		suspects:   make(map[dragonflypass.Fingerprint]*suspect),
		crashes:    make(map[crashKey]time.Time),
		successes:  make(map[dragonflypass.Fingerprint]time.Time),
	}
}

// RecordCrash records that a server crashed while running the requests with the fingerprints. It reports whether
// the crash is a new one.
func (q *Quarantiner) RecordCrash(crash dragonflypass.ServerCrash) bool {
	now := q.Timer.Now()
	q.mutex.Lock()
	key := crashKey{server: crash.Server, epoch: crash.Epoch}
	if _, reported := q.crashes[key]; reported {
		q.mutex.Unlock()
		return false
	}
	q.crashes[key] = now
	causes := q.likelyCauses(crash.Fingerprints, now)
	quarantined := 0
	for _, fingerprint := range causes {
		if q.countCrash(fingerprint, now) {
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

// likelyCauses returns the fingerprints that may have caused the crash: those that were suspects already, or all if there
// are none. It is called with the mutex held.
func (q *Quarantiner) likelyCauses(fingerprints []dragonflypass.Fingerprint, now time.Time) []dragonflypass.Fingerprint {
	var priorSuspects []dragonflypass.Fingerprint
	for _, fingerprint := range fingerprints {
		if s, ok := q.suspects[fingerprint]; ok && now.Before(s.expiresAt) {
			priorSuspects = append(priorSuspects, fingerprint)
		}
	}
	if len(priorSuspects) > 0 {
		return priorSuspects
	}
	return fingerprints
}

// countCrash counts a crash for the fingerprint and reports whether this puts it in quarantine. It is called with the
// mutex held.
func (q *Quarantiner) countCrash(fingerprint dragonflypass.Fingerprint, now time.Time) bool {
	s, ok := q.suspects[fingerprint]
	if !ok || !now.Before(s.expiresAt) {
		s = &suspect{}
		q.suspects[fingerprint] = s
	}
	delete(q.successes, fingerprint)
	s.crashes++
	s.lastCrash = now
	if s.crashes < q.CrashLimit {
		s.expiresAt = now.Add(suspectDuration)
		return false
	}
	s.expiresAt = now.Add(quarantineDuration)
	return s.crashes == q.CrashLimit
}

// RecordSuccess records that a request completed. Unless it is quarantined, it is no longer a suspect.
func (q *Quarantiner) RecordSuccess(fingerprint dragonflypass.Fingerprint) {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.successes) < successLimit {
		q.successes[fingerprint] = now
	}
	if s, ok := q.suspects[fingerprint]; ok && s.crashes < q.CrashLimit {
		delete(q.suspects, fingerprint)
	}
}

// RecentlySucceeded reports whether the request completed recently, so that several copies of it may run at the same time.
func (q *Quarantiner) RecentlySucceeded(fingerprint dragonflypass.Fingerprint) bool {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	succeededAt, ok := q.successes[fingerprint]
	return ok && now.Sub(succeededAt) < successRetention
}

// Check returns whether a request with the fingerprint may run.
func (q *Quarantiner) Check(fingerprint dragonflypass.Fingerprint) Decision {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s, ok := q.suspects[fingerprint]
	if !ok {
		return Allowed
	}
	if !now.Before(s.expiresAt) {
		delete(q.suspects, fingerprint)
		return Allowed
	}
	switch {
	case s.crashes >= q.CrashLimit:
		return Quarantined
	case now.Sub(s.lastCrash) < crashBroadcastTime:
		return Delayed
	}
	return AllowedAlone
}

// Sweep removes expired crashes, completed requests and suspects.
func (q *Quarantiner) Sweep() {
	now := q.Timer.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for key, crashedAt := range q.crashes {
		if now.Sub(crashedAt) > quarantineDuration {
			delete(q.crashes, key)
		}
	}
	for fingerprint, succeededAt := range q.successes {
		if now.Sub(succeededAt) > successRetention {
			delete(q.successes, fingerprint)
		}
	}
	for fingerprint, s := range q.suspects {
		if !now.Before(s.expiresAt) {
			delete(q.suspects, fingerprint)
		}
	}
}

// Suspect describes a suspected or quarantined request in a state dump.
type Suspect struct {
	Account dragonflypass.AccountID
	Model   dragonflypass.ModelID
	Crashes int
	// Until is the time at which the suspicion or the quarantine expires.
	Until time.Time
}

// Suspects returns the suspects for a state dump, in no particular order.
func (q *Quarantiner) Suspects() []Suspect {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	suspects := make([]Suspect, 0, len(q.suspects))
	for fingerprint, s := range q.suspects {
		suspects = append(suspects, Suspect{Account: fingerprint.Account, Model: fingerprint.Model, Crashes: s.crashes, Until: s.expiresAt})
	}
	return suspects
}
