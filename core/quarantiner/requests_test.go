package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// refusesRequest reports whether the request of the account is refused.
func (s *site) refusesRequest(account, body string) bool {
	return s.Refuses(fingerprint(account, body), nil) != nil
}

// exchange lets both sites know what the other one knows of requests.
func exchange(a, b *site) {
	b.MergeRequests(a.RequestStatuses())
	a.MergeRequests(b.RequestStatuses())
}

// TestVMsShareWhatTheyKnowOfRequests guards against crashes that are counted twice, once from a report and once from a status.
func TestVMsShareWhatTheyKnowOfRequests(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	first, joined := newSite(clock), newSite(clock)
	first.CrashLimit, joined.CrashLimit = 3, 3
	request := suspect{"a", "body", nil}
	first.crash(request)
	second := first.crash(request)
	joined.RecordCrash(second)
	exchange(first, joined)
	c.Check(joined.refusesRequest("a", "body"), qt.IsFalse)
	third := first.crash(request)
	c.Assert(first.refusesRequest("a", "body"), qt.IsTrue)
	joined.RecordCrash(third)
	exchange(first, joined)
	c.Check(joined.refusesRequest("a", "body"), qt.IsTrue)
	c.Check(joined.refusesRequest("b", "body"), qt.IsFalse)
}

// TestRequestThatOthersCompleteIsCleared quarantines a request by mistake at one VM, while another one completes it.
func TestRequestThatOthersCompleteIsCleared(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	mistaken, other := newSite(clock), newSite(clock)
	request := suspect{"a", "lookup", nil}
	for range 2 {
		crash := mistaken.crash(request)
		other.RecordCrash(crash)
		advance(clock, 100*time.Millisecond)
		other.RecordSuccess(fingerprint("a", "lookup"))
	}
	c.Assert(mistaken.refusesRequest("a", "lookup"), qt.IsTrue)
	exchange(mistaken, other)
	c.Check(other.refusesRequest("a", "lookup"), qt.IsFalse)
	exchange(other, mistaken)
	c.Check(mistaken.refusesRequest("a", "lookup"), qt.IsFalse)
	// The crashes that were counted before do not quarantine it again.
	exchange(other, mistaken)
	mistaken.crash(request)
	c.Check(mistaken.refusesRequest("a", "lookup"), qt.IsFalse)
}

// TestStatusesDoNotProlongAQuarantine exchanges statuses that take a while between the VMs for as long as the quarantine lasts.
func TestStatusesDoNotProlongAQuarantine(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	first, second := newSite(clock), newSite(clock)
	for range 2 {
		first.crash(suspect{"a", "body", nil})
	}
	const duration, interval, delay = time.Hour, 10 * time.Second, 200 * time.Millisecond
	for range duration / interval {
		for _, pair := range [][2]*site{{first, second}, {second, first}} {
			statuses := pair[0].RequestStatuses()
			advance(clock, delay)
			for i := range statuses {
				// Ages are relative to the arrival.
				statuses[i].LastCrash = statuses[i].LastCrash.Add(delay)
			}
			pair[1].MergeRequests(statuses)
		}
		advance(clock, interval-2*delay)
	}
	advance(clock, time.Minute)
	c.Check(first.refusesRequest("a", "body"), qt.IsFalse)
	c.Check(second.refusesRequest("a", "body"), qt.IsFalse)
}

// TestRequestStatusesTakeLimitedMemory quarantines more requests than a heartbeat holds. The last one must be among its statuses.
func TestRequestStatusesTakeLimitedMemory(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	first, joined := newSite(clock), newSite(clock)
	const requests, limit = 500, 64
	for i := range requests {
		for range 2 {
			first.crash(suspect{"flooder", fmt.Sprint(i), nil})
		}
	}
	c.Check(len(first.RequestStatuses()) <= limit, qt.IsTrue)
	joined.MergeRequests(first.RequestStatuses())
	c.Check(joined.refusesRequest("flooder", fmt.Sprint(requests-1)), qt.IsTrue)
}

// TestClearedRequestIsNotQuarantinedByOldStatus delivers a status from before the completion to a VM that has ended its quarantine.
func TestClearedRequestIsNotQuarantinedByOldStatus(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	mistaken, other, third := newSite(clock), newSite(clock), newSite(clock)
	request := suspect{"a", "lookup", nil}
	for range 2 {
		crash := mistaken.crash(request)
		other.RecordCrash(crash)
		third.RecordCrash(crash)
		advance(clock, 100*time.Millisecond)
		other.RecordSuccess(fingerprint("a", "lookup"))
	}
	old := third.RequestStatuses()
	c.Assert(third.refusesRequest("a", "lookup"), qt.IsTrue)
	exchange(mistaken, other)
	exchange(other, mistaken)
	c.Assert(mistaken.refusesRequest("a", "lookup"), qt.IsFalse)
	mistaken.MergeRequests(old)
	c.Check(mistaken.refusesRequest("a", "lookup"), qt.IsFalse)
	exchange(mistaken, third)
	c.Check(third.refusesRequest("a", "lookup"), qt.IsFalse)
}
