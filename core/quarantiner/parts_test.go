package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const model = dragonflypass.ModelID("m")

// site is a quarantiner with a clock and a count of crashes.
type site struct {
	*quarantiner.Quarantiner
	clock   *fake.Clock
	crashes int
}

func newSite(clock *fake.Clock) *site {
	q := quarantiner.New()
	q.Timer, q.Meter, q.Logger = clock, fake.NewMeter(), fake.Logger{}
	return &site{Quarantiner: q, clock: clock}
}

func newClock() *fake.Clock { return fake.NewClock(time.Unix(1000, 0)) }

func advance(clock *fake.Clock, duration time.Duration) { clock.Run(clock.Now().Add(duration)) }

func (s *site) advance(duration time.Duration) { advance(s.clock, duration) }

func fingerprint(account, body string) dragonflypass.Fingerprint {
	f := dragonflypass.Fingerprint{Account: dragonflypass.AccountID(account), Model: model}
	copy(f.Body[:], body)
	return f
}

// suspect is a request that a crash interrupted: its account, its body and the parts of its prompt.
type suspect struct {
	account, body string
	parts         []dragonflypass.SharedPart
}

// newCrash returns the crash of a further server, now, with suspects that were sent 100 ms ago.
func (s *site) newCrash(suspects ...suspect) dragonflypass.ServerCrash {
	s.crashes++
	crash := dragonflypass.ServerCrash{Server: dragonflypass.ServerID(fmt.Sprintf("server-%d", s.crashes)), Epoch: 1, At: s.clock.Now()}
	for _, request := range suspects {
		f := fingerprint(request.account, request.body)
		crash.Fingerprints = append(crash.Fingerprints, f)
		crash.Suspects = append(crash.Suspects, dragonflypass.CrashSuspect{Fingerprint: f, Parts: request.parts, SentAt: s.clock.Now().Add(-100 * time.Millisecond)})
	}
	return crash
}

// crash records the crash of a further server, a second after the last one.
func (s *site) crash(suspects ...suspect) dragonflypass.ServerCrash {
	s.advance(time.Second)
	crash := s.newCrash(suspects...)
	s.RecordCrash(crash)
	return crash
}

// refused reports whether a new request of the account with the parts is refused.
func (s *site) refused(account string, parts ...dragonflypass.SharedPart) bool {
	return s.Refuses(fingerprint(account, "new"), parts) != nil
}

// quarantine records three crashes by different requests of two accounts with the part.
func (s *site) quarantine(part dragonflypass.SharedPart) {
	for i, account := range []string{"a", "b", "a"} {
		s.crash(suspect{account, fmt.Sprint("body", i), []dragonflypass.SharedPart{part}})
	}
}

func parts(list ...dragonflypass.SharedPart) []dragonflypass.SharedPart { return list }

func TestPartIsRefusedAfterItsThirdCrash(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for i := range 3 {
		c.Check(s.refused("a", "p"), qt.IsFalse)
		s.crash(suspect{"a", fmt.Sprint(i), parts("p")})
	}
	c.Check(s.refused("a", "p"), qt.IsTrue)
	c.Check(s.refused("a", "o", "p"), qt.IsTrue)
	c.Check(s.refused("a", "o"), qt.IsFalse)
	refusal := s.Refuses(fingerprint("a", "new"), parts("p"))
	c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
	c.Check(refusal.RetryAfter > 0, qt.IsTrue)
}

func TestAccountCannotHaveRequestsOfOthersRefused(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for i := range 10 {
		s.crash(suspect{"attacker", fmt.Sprint(i), parts("p")})
	}
	c.Check(s.refused("attacker", "p"), qt.IsTrue)
	c.Check(s.refused("other", "p"), qt.IsFalse)
	s.crash(suspect{"second", "body", parts("p")})
	c.Check(s.refused("other", "p"), qt.IsTrue)
}

// TestPartsThatAlwaysOccurTogetherAreRefusedTogether has a sound part in each prompt that crashes a server.
func TestPartsThatAlwaysOccurTogetherAreRefusedTogether(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for i := range 3 {
		s.crash(suspect{"a", fmt.Sprint(i), parts("cause", "sound")})
	}
	c.Check(s.refused("a", "cause", "sound"), qt.IsTrue)
	c.Check(s.refused("a", "sound"), qt.IsFalse)
	c.Check(s.refused("a", "other", "sound"), qt.IsFalse)
	s.RecordBegun(model, parts("sound"))
	c.Check(s.refused("a", "cause", "other"), qt.IsTrue)
}

// TestCauseIsNotExplainedByPartOfTheSamePrompts reports, at each crash, a sound request with the other part first.
func TestCauseIsNotExplainedByPartOfTheSamePrompts(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for i := range 4 {
		s.crash(suspect{"a", fmt.Sprint("cause", i), parts("cause", "sound")})
		if i == 2 {
			c.Check(s.refused("a", "cause", "sound"), qt.IsTrue)
		}
	}
	s.RecordBegun(model, parts("sound"))
	for i := range 4 {
		s.crash(suspect{"a", fmt.Sprint("sound", i), parts("sound")}, suspect{"a", fmt.Sprint("late", i), parts("cause", "sound")})
		c.Check(s.refused("a", "cause", "sound"), qt.IsTrue)
	}
	c.Check(s.refused("a", "sound"), qt.IsFalse)
}

// TestSoundPartIsNotRefusedBesideTheCause interrupts other requests with the crashes, in either order of the reports.
func TestSoundPartIsNotRefusedBesideTheCause(t *testing.T) {
	for _, causeFirst := range []bool{false, true} {
		qt.New(t).Run(fmt.Sprint(causeFirst), func(c *qt.C) {
			s := newSite(newClock())
			for i := range 4 {
				cause := suspect{"a", fmt.Sprint("cause", i), parts("cause")}
				sound := suspect{"a", fmt.Sprint("sound", i), parts("sound")}
				switch {
				case i == 0:
					s.crash(cause)
				case causeFirst:
					s.crash(cause, sound)
				default:
					s.crash(sound, cause)
				}
			}
			c.Check(s.refused("a", "cause"), qt.IsTrue)
			c.Check(s.refused("a", "sound"), qt.IsFalse)
		})
	}
}

func TestServersThatGoDownTogetherAreOneCrash(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for i := range 10 {
		s.RecordCrash(s.newCrash(suspect{"a", fmt.Sprint(i), parts("p")}))
		s.advance(5 * time.Millisecond)
	}
	c.Check(s.refused("a", "p"), qt.IsFalse)
}

func TestRepeatsOfOneRequestDoNotIncriminateItsParts(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for range 5 {
		s.crash(suspect{"a", "the same", parts("p")})
	}
	c.Check(s.refused("a", "p"), qt.IsFalse)
	c.Check(s.Refuses(fingerprint("a", "the same"), parts("p")), qt.IsNotNil)
}

func TestPartThatServersBeginIsNotRefused(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	for i := range 6 {
		s.crash(suspect{"a", fmt.Sprint(i), parts("p")})
		if i%2 == 1 {
			s.RecordBegun(model, parts("p"))
		}
	}
	c.Check(s.refused("a", "p"), qt.IsFalse)
	s.quarantine("q")
	c.Check(s.refused("a", "q"), qt.IsTrue)
	s.RecordBegun(model, parts("q"))
	c.Check(s.refused("a", "q"), qt.IsFalse)
}

// TestLateReportIsNoEvidence delivers the reports of crashes after an answer has been begun.
func TestLateReportIsNoEvidence(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	var late []dragonflypass.ServerCrash
	for i := range 3 {
		s.advance(time.Second)
		late = append(late, s.newCrash(suspect{"a", fmt.Sprint(i), parts("p")}))
	}
	s.advance(time.Second)
	s.RecordBegun(model, parts("p"))
	for _, crash := range late {
		s.RecordCrash(crash)
	}
	c.Check(s.refused("a", "p"), qt.IsFalse)
}

func TestOneCrashAfterAQuarantineStartsALongerOne(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	s.quarantine("p")
	c.Check(s.refused("a", "p"), qt.IsTrue)
	first := s.Refuses(fingerprint("a", "new"), parts("p")).RetryAfter
	s.advance(first + time.Second)
	s.Sweep()
	c.Check(s.refused("a", "p"), qt.IsFalse)
	s.crash(suspect{"a", "later", parts("p")})
	c.Assert(s.refused("a", "p"), qt.IsTrue)
	c.Check(s.Refuses(fingerprint("a", "new"), parts("p")).RetryAfter > first, qt.IsTrue)
}

func TestVMsShareWhatTheyKnowOfParts(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	first, joined := newSite(clock), newSite(clock)
	first.quarantine("p")
	joined.MergeParts(first.PartStatuses())
	c.Check(joined.refused("a", "p"), qt.IsTrue)
	c.Check(joined.refused("stranger", "p"), qt.IsTrue)
	// An answer that is begun at one VM ends the quarantine at the other, although that has seen one begin before.
	advance(clock, 100*time.Millisecond)
	joined.RecordBegun(model, parts("p"))
	c.Check(joined.refused("a", "p"), qt.IsFalse)
	first.MergeParts(joined.PartStatuses())
	c.Check(first.refused("a", "p"), qt.IsFalse)
	// A status from before does not start it again.
	joined.MergeParts([]dragonflypass.PartStatus{{
		Model: model, Part: "p", Required: parts("p"), Accounts: []dragonflypass.AccountID{"a", "b"}, Quarantines: 1,
		LastCrash: clock.Now().Add(-time.Second), QuarantinedUntil: clock.Now().Add(time.Minute),
	}})
	c.Check(joined.refused("a", "p"), qt.IsFalse)
}

// TestClearedPartIsClearedEverywhere lets a VM begin an answer shortly before a crash, and another one shortly after it.
func TestClearedPartIsClearedEverywhere(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	first, second := newSite(clock), newSite(clock)
	first.RecordBegun(model, parts("p"))
	advance(clock, 100*time.Millisecond)
	second.quarantine("p")
	first.MergeParts(second.PartStatuses())
	c.Assert(first.refused("a", "p"), qt.IsTrue)
	advance(clock, 100*time.Millisecond)
	second.RecordBegun(model, parts("p"))
	first.MergeParts(second.PartStatuses())
	c.Check(first.refused("a", "p"), qt.IsFalse)
}

// TestPartsOfCallersTakeLimitedMemory floods the tables with parts that occur once, and then finds one that recurs.
func TestPartsOfCallersTakeLimitedMemory(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	flood := func(prefix string, count int) []dragonflypass.SharedPart {
		list := make([]dragonflypass.SharedPart, count)
		for i := range list {
			list[i] = dragonflypass.SharedPart(fmt.Sprintf("%s-%06d", prefix, i))
		}
		return list
	}
	for i := range 100 {
		s.crash(suspect{"flooder", fmt.Sprint("flood", i), flood(fmt.Sprint("crashed-", i), 5000)})
		s.RecordBegun(model, flood(fmt.Sprint("begun-", i), 5000))
	}
	s.quarantine("p")
	c.Check(s.refused("a", "p"), qt.IsTrue)
	records, begun := s.PartCounts()
	c.Check(records <= 2048, qt.IsTrue, qt.Commentf("%d", records))
	c.Check(begun <= 2*8192, qt.IsTrue, qt.Commentf("%d", begun))
	c.Check(len(s.PartStatuses()) <= 64, qt.IsTrue)
}

// TestCrashesTakeLimitedMemory records more crashes, by different requests, than are kept.
func TestCrashesTakeLimitedMemory(t *testing.T) {
	c := qt.New(t)
	s := newSite(newClock())
	const crashes, limit = 25_000, 20_000
	for i := range crashes {
		s.RecordCrash(s.newCrash(suspect{"a", fmt.Sprint(i), nil}))
	}
	suspects, recorded := s.CrashCounts()
	c.Check(suspects <= limit, qt.IsTrue, qt.Commentf("%d", suspects))
	c.Check(recorded <= limit, qt.IsTrue, qt.Commentf("%d", recorded))
}
