package composer_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// applySheet applies a sheet with the maintenance windows and waits until it is in effect on every node.
func applySheet(c *qt.C, s *fake.Site, day string, windows ...dragonflypass.MaintenanceWindow) {
	c.Helper()
	key := dragonflypass.ItemKey{Section: dragonflypass.SectionSheet, Name: day}
	item := dragonflypass.Item{Sheet: &dragonflypass.Sheet{Day: day, Windows: windows}}
	result, err := s.Apply(0, "sheet-"+day, dragonflypass.Edit{Key: key, BaseVersion: s.ItemVersion(0, key), Item: &item})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Accepted, qt.IsTrue)
	time.Sleep(3 * time.Second)
}

func window(name string, start time.Time, length time.Duration) dragonflypass.MaintenanceWindow {
	return dragonflypass.MaintenanceWindow{Name: name, Zone: "a", Start: start, End: start.Add(length)}
}

// scheduleServerStops stops each server at the start of its maintenance window, as the operator of the machines does.
// interrupted counts the stops of servers that still had requests.
func scheduleServerStops(s *fake.Site, windows []dragonflypass.MaintenanceWindow) (interrupted *atomic.Int32) {
	interrupted = new(atomic.Int32)
	for _, w := range windows {
		for _, server := range s.Servers {
			if string(server.ID) != w.Name {
				continue
			}
			time.AfterFunc(time.Until(w.Start), func() {
				if server.Used() > 0 {
					interrupted.Add(1)
				}
				server.Crash()
			})
		}
	}
	return interrupted
}

func TestServerMaintenanceInterruptsNoRequest(t *testing.T) {
	tests := []struct {
		name    string
		windows func(now time.Time) []dragonflypass.MaintenanceWindow
	}{
		{name: "one server", windows: func(now time.Time) []dragonflypass.MaintenanceWindow {
			return []dragonflypass.MaintenanceWindow{window("server-1", now.Add(30*time.Second), time.Minute)}
		}},
		{name: "overlapping windows", windows: func(now time.Time) []dragonflypass.MaintenanceWindow {
			return []dragonflypass.MaintenanceWindow{
				window("server-1", now.Add(30*time.Second), time.Minute), window("server-1", now.Add(60*time.Second), time.Minute),
				window("server-2", now.Add(40*time.Second), time.Minute),
			}
		}},
		{name: "two zones at once", windows: func(now time.Time) []dragonflypass.MaintenanceWindow {
			return []dragonflypass.MaintenanceWindow{
				window("server-1", now.Add(30*time.Second), time.Minute), window("server-4", now.Add(30*time.Second), time.Minute),
				window("server-2", now.Add(30*time.Second), time.Minute), window("server-5", now.Add(30*time.Second), time.Minute),
			}
		}},
		{name: "longer than a day", windows: func(now time.Time) []dragonflypass.MaintenanceWindow {
			return []dragonflypass.MaintenanceWindow{window("server-1", now.Add(30*time.Second), 30*time.Hour)}
		}},
		{name: "long requests started before the sheet", windows: func(now time.Time) []dragonflypass.MaintenanceWindow {
			return []dragonflypass.MaintenanceWindow{window("server-1", now.Add(12*time.Second), time.Minute), window("server-2", now.Add(12*time.Second), time.Minute)}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 3, 6, func(c *qt.C, s *fake.Site) {
				var wg sync.WaitGroup
				send := func(results map[string]*fake.Answer, name string, node, tokens, output int, rank dragonflypass.Rank) {
					a := &fake.Answer{}
					results[name] = a
					wg.Go(func() { s.CompleteInto(s.Context, a, node, prompt(name, tokens), output, rank) })
				}
				longAnswers, shortAnswers := map[string]*fake.Answer{}, map[string]*fake.Answer{}
				for i := range 12 {
					send(longAnswers, fmt.Sprintf("<long>%d", i), i%3, 20_000, 2500, dragonflypass.RankBulk)
				}
				time.Sleep(2 * time.Second)
				windows := test.windows(time.Now())
				applySheet(c, s, "2000-01-01", windows...)
				interrupted := scheduleServerStops(s, windows)
				for i := range 200 {
					send(shortAnswers, fmt.Sprintf("short%d", i), i%3, 200, 30, dragonflypass.RankUrgent)
					time.Sleep(250 * time.Millisecond)
				}
				wg.Wait()
				c.Check(interrupted.Load(), qt.Equals, int32(0))
				for name, a := range longAnswers {
					checkCompleteAnswer(c, a, prompt(name, 20_000), 2500)
				}
				for name, a := range shortAnswers {
					checkCompleteAnswer(c, a, prompt(name, 200), 30)
				}
			})
		})
	}
}

// TestShortRequestsUntilShortlyBeforeMaintenance checks that a server still runs short requests, but no long ones, shortly
// before its maintenance window.
func TestShortRequestsUntilShortlyBeforeMaintenance(t *testing.T) {
	withSite(t, 1, 1, func(c *qt.C, s *fake.Site) {
		start := time.Now().Add(25 * time.Second)
		applySheet(c, s, "2000-01-01", window("server-1", start, time.Minute))
		time.Sleep(time.Until(start) - 10*time.Second)
		text := prompt("short", 200)
		checkCompleteAnswer(c, s.Complete(s.Context, 0, text, 30, dragonflypass.RankUrgent), text, 30)
		longAnswer := s.Complete(s.Context, 0, prompt("<long>", 20_000), 2000, dragonflypass.RankBulk)
		refusal, ok := dragonflypass.AsRefusal(longAnswer.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
		time.Sleep(time.Until(start) - 4*time.Second)
		lateAnswer := s.Complete(s.Context, 0, prompt("late", 200), 5, dragonflypass.RankUrgent)
		refusal, ok = dragonflypass.AsRefusal(lateAnswer.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
	})
}

// TestEntryVMMaintenance checks that an entry VM refuses the requests that its maintenance window would interrupt, and
// that all requests admitted earlier finish before the window.
func TestEntryVMMaintenance(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		start := time.Now().Add(40 * time.Second)
		applySheet(c, s, "2000-01-01", window("vm-1", start, time.Minute))
		var wg sync.WaitGroup
		results := make([]*fake.Answer, 0, 200)
		for i := 0; time.Now().Before(start); i++ {
			a := &fake.Answer{}
			results = append(results, a)
			output := 20 + 200*(i%5)
			wg.Go(func() {
				s.CompleteInto(s.Context, a, 0, prompt(fmt.Sprintf("<long>%d", i), 300), output, dragonflypass.RankNormal)
			})
			time.Sleep(200 * time.Millisecond)
		}
		c.Check(s.Nodes[0].Dispatcher.OpenCount(), qt.Equals, 0)
		c.Check(s.Nodes[0].Detector.Leaving(), qt.IsTrue)
		wg.Wait()
		completed := 0
		for _, a := range results {
			if a.Err == nil {
				completed++
				continue
			}
			refusal, ok := dragonflypass.AsRefusal(a.Err)
			c.Assert(ok, qt.IsTrue)
			c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo, qt.Commentf("%v", refusal))
		}
		c.Check(completed > 100, qt.IsTrue, qt.Commentf("%d complete answers", completed))
	})
}

// TestEntryVMMaintenanceStartsImmediately applies a sheet with a maintenance window that has already started. The VM must
// leave at once, and its running requests must continue to their end.
func TestEntryVMMaintenanceStartsImmediately(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		const requests, output = 6, 700
		var wg sync.WaitGroup
		answers := make([]*fake.Answer, requests)
		text := func(i int) string { return prompt(fmt.Sprintf("<long>%d", i), 300) }
		for i := range answers {
			answers[i] = &fake.Answer{}
			wg.Go(func() { s.CompleteInto(s.Context, answers[i], 0, text(i), output, dragonflypass.RankNormal) })
		}
		time.Sleep(time.Second)
		applySheet(c, s, "2000-01-01", window("vm-1", time.Now(), time.Minute))
		c.Check(s.Nodes[0].Detector.Leaving(), qt.IsTrue)
		answer := s.Complete(s.Context, 0, prompt("late", 200), 5, dragonflypass.RankUrgent)
		refusal, ok := dragonflypass.AsRefusal(answer.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
		time.Sleep(leaveLimit)
		permitsBefore := s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted)
		for i := range 30 {
			other := prompt(fmt.Sprintf("other%d", i), 200)
			checkCompleteAnswer(c, s.Complete(s.Context, 1+i%2, other, 5, dragonflypass.RankUrgent), other, 5)
		}
		c.Check(s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted), qt.Equals, permitsBefore)
		wg.Wait()
		for i, a := range answers {
			checkCompleteAnswer(c, a, text(i), output)
		}
	})
}
