package messenger

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

type crash struct {
	Server       string        `cbor:"server"`
	Epoch        uint64        `cbor:"epoch"`
	Fingerprints []fingerprint `cbor:"prints"`
	At           int64         `cbor:"at"`
	// Suspects is ignored by the versions that do not know it.
	Suspects []suspect `cbor:"suspects,omitempty"`
	// Age is the time since the crash, because the clocks of VMs differ; zero if the sender does not know it.
	Age int64 `cbor:"age,omitempty"`
}

type suspect struct {
	Fingerprint fingerprint `cbor:"print"`
	Parts       []string    `cbor:"parts,omitempty"`
	// SinceSent is the time since the request was sent.
	SinceSent int64 `cbor:"sent"`
}

// requestStatus encodes times as the time since then.
type requestStatus struct {
	Fingerprint     fingerprint `cbor:"print"`
	Crashes         []crashID   `cbor:"crashes,omitempty"`
	SinceCrash      int64       `cbor:"crash,omitempty"`
	SinceCompletion int64       `cbor:"completed,omitempty"`
}

// crashID is encoded as an array to save space.
type crashID struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Epoch  uint64
}

// partStatus encodes times as the time since then, or until then.
type partStatus struct {
	Model       string   `cbor:"model"`
	Part        string   `cbor:"part"`
	SinceBegun  int64    `cbor:"begun,omitempty"`
	Required    []string `cbor:"required,omitempty"`
	Accounts    []string `cbor:"accounts,omitempty"`
	Quarantines int      `cbor:"times,omitempty"`
	SinceCrash  int64    `cbor:"crash,omitempty"`
	Remaining   int64    `cbor:"left,omitempty"`
}

// toAge returns the time since t in nanoseconds, at least 1, because zero stands for the zero time.
func toAge(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, int64(now.Sub(t)))
}

func fromAge(age int64, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age))
}

func toCrash(c dragonflypass.ServerCrash, now time.Time) crash {
	w := crash{Server: string(c.Server), Epoch: c.Epoch, At: toUnixNano(c.At), Age: toAge(c.At, now)}
	for _, f := range c.Fingerprints {
		w.Fingerprints = append(w.Fingerprints, toFingerprint(f))
	}
	for _, s := range c.Suspects {
		w.Suspects = append(w.Suspects, suspect{Fingerprint: toFingerprint(s.Fingerprint), Parts: toStrings(s.Parts), SinceSent: toAge(s.SentAt, now)})
	}
	return w
}

func (w crash) crash(now time.Time) dragonflypass.ServerCrash {
	c := dragonflypass.ServerCrash{Server: dragonflypass.ServerID(w.Server), Epoch: w.Epoch, At: fromAge(w.Age, now)}
	if w.Age == 0 {
		c.At = fromUnixNano(w.At)
	}
	for _, f := range w.Fingerprints {
		c.Fingerprints = append(c.Fingerprints, f.fingerprint())
	}
	for _, s := range w.Suspects {
		c.Suspects = append(c.Suspects, dragonflypass.CrashSuspect{
			Fingerprint: s.Fingerprint.fingerprint(), Parts: fromStrings[dragonflypass.SharedPart](s.Parts), SentAt: fromAge(s.SinceSent, now),
		})
	}
	return c
}

func toRequestStatus(s dragonflypass.RequestStatus, now time.Time) requestStatus {
	w := requestStatus{Fingerprint: toFingerprint(s.Fingerprint), SinceCrash: toAge(s.LastCrash, now), SinceCompletion: toAge(s.CompletedAt, now)}
	for _, id := range s.Crashes {
		w.Crashes = append(w.Crashes, crashID{Server: string(id.Server), Epoch: id.Epoch})
	}
	return w
}

func (w requestStatus) status(now time.Time) dragonflypass.RequestStatus {
	s := dragonflypass.RequestStatus{
		Fingerprint: w.Fingerprint.fingerprint(), LastCrash: fromAge(w.SinceCrash, now), CompletedAt: fromAge(w.SinceCompletion, now),
	}
	for _, id := range w.Crashes {
		s.Crashes = append(s.Crashes, dragonflypass.CrashID{Server: dragonflypass.ServerID(id.Server), Epoch: id.Epoch})
	}
	return s
}

func toPartStatus(s dragonflypass.PartStatus, now time.Time) partStatus {
	w := partStatus{
		Model: string(s.Model), Part: string(s.Part), SinceBegun: toAge(s.BegunAt, now), Required: toStrings(s.Required), Accounts: toStrings(s.Accounts),
		Quarantines: s.Quarantines, SinceCrash: toAge(s.LastCrash, now),
	}
	if !s.QuarantinedUntil.IsZero() {
		w.Remaining = int64(s.QuarantinedUntil.Sub(now))
	}
	return w
}

func (w partStatus) status(now time.Time) dragonflypass.PartStatus {
	s := dragonflypass.PartStatus{
		Model: dragonflypass.ModelID(w.Model), Part: dragonflypass.SharedPart(w.Part), BegunAt: fromAge(w.SinceBegun, now),
		Required: fromStrings[dragonflypass.SharedPart](w.Required), Accounts: fromStrings[dragonflypass.AccountID](w.Accounts),
		Quarantines: w.Quarantines, LastCrash: fromAge(w.SinceCrash, now),
	}
	if w.Remaining != 0 {
		s.QuarantinedUntil = now.Add(time.Duration(w.Remaining))
	}
	return s
}

func toStrings[T ~string](list []T) (encoded []string) {
	for _, element := range list {
		encoded = append(encoded, string(element))
	}
	return encoded
}

func fromStrings[T ~string](encoded []string) (list []T) {
	for _, element := range encoded {
		list = append(list, T(element))
	}
	return list
}
