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

// putSheet puts a sheet with the windows in force on every node.
func putSheet(c *qt.C, s *fake.Site, day string, windows ...dragonflypass.MaintenanceWindow) {
	c.Helper()
	key := dragonflypass.ItemKey{Section: dragonflypass.SectionSheet, Name: day}
	item := dragonflypass.Item{Sheet: &dragonflypass.Sheet{Day: day, Windows: windows}}
	verdict, err := s.Apply(0, "sheet-"+day, dragonflypass.Edit{Key: key, BaseVersion: s.Base(0, key), Item: &item})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Accepted, qt.IsTrue)
	time.Sleep(3 * time.Second)
}

func window(name string, start time.Time, length time.Duration) dragonflypass.MaintenanceWindow {
	return dragonflypass.MaintenanceWindow{Name: name, Zone: "a", Start: start, End: start.Add(length)}
}

// stopServers has the servers go down for their windows, as the landlord does.
func stopServers(s *fake.Site, windows []dragonflypass.MaintenanceWindow) (cut *atomic.Int32) {
	cut = new(atomic.Int32)
	for _, w := range windows {
		for _, server := range s.Servers {
			if string(server.ID) != w.Name {
				continue
			}
			time.AfterFunc(time.Until(w.Start), func() {
				if server.Used() > 0 {
					cut.Add(1)
				}
				server.Die()
			})
		}
	}
	return cut
}

func TestPlannedStopsOfServersCutNothing(t *testing.T) {
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
		{name: "long work begun before the sheet came", windows: func(now time.Time) []dragonflypass.MaintenanceWindow {
			return []dragonflypass.MaintenanceWindow{window("server-1", now.Add(12*time.Second), time.Minute), window("server-2", now.Add(12*time.Second), time.Minute)}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, 3, 6, func(c *qt.C, s *fake.Site) {
				var all sync.WaitGroup
				send := func(results map[string]*fake.Answer, name string, node, tokens, output int, rank dragonflypass.Rank) {
					a := &fake.Answer{}
					results[name] = a
					all.Go(func() { s.CompleteInto(s.Context, a, node, prompt(name, tokens), output, rank) })
				}
				long, short := map[string]*fake.Answer{}, map[string]*fake.Answer{}
				for i := range 12 {
					send(long, fmt.Sprintf("<long>%d", i), i%3, 20_000, 2500, dragonflypass.RankBulk)
				}
				time.Sleep(2 * time.Second)
				windows := test.windows(time.Now())
				putSheet(c, s, "2000-01-01", windows...)
				cut := stopServers(s, windows)
				for i := range 200 {
					send(short, fmt.Sprintf("short%d", i), i%3, 200, 30, dragonflypass.RankUrgent)
					time.Sleep(250 * time.Millisecond)
				}
				all.Wait()
				c.Check(cut.Load(), qt.Equals, int32(0))
				for name, a := range long {
					checkWhole(c, a, prompt(name, 20_000), 2500)
				}
				for name, a := range short {
					checkWhole(c, a, prompt(name, 200), 30)
				}
			})
		})
	}
}

// TestShortWorkUntilTheLastSeconds has a server take short work, and no long work, shortly before its window.
func TestShortWorkUntilTheLastSeconds(t *testing.T) {
	withSite(t, 1, 1, func(c *qt.C, s *fake.Site) {
		start := time.Now().Add(25 * time.Second)
		putSheet(c, s, "2000-01-01", window("server-1", start, time.Minute))
		time.Sleep(time.Until(start) - 10*time.Second)
		text := prompt("short", 200)
		checkWhole(c, s.Complete(s.Context, 0, text, 30, dragonflypass.RankUrgent), text, 30)
		long := s.Complete(s.Context, 0, prompt("<long>", 20_000), 2000, dragonflypass.RankBulk)
		refusal, ok := dragonflypass.AsRefusal(long.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
		time.Sleep(time.Until(start) - 4*time.Second)
		late := s.Complete(s.Context, 0, prompt("late", 200), 5, dragonflypass.RankUrgent)
		refusal, ok = dragonflypass.AsRefusal(late.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
	})
}

// TestPlannedStopOfEntryVM has an entry VM refuse what its window would cut, and end all it admitted before.
func TestPlannedStopOfEntryVM(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		start := time.Now().Add(40 * time.Second)
		putSheet(c, s, "2000-01-01", window("vm-1", start, time.Minute))
		var all sync.WaitGroup
		results := make([]*fake.Answer, 0, 200)
		for i := 0; time.Now().Before(start); i++ {
			a := &fake.Answer{}
			results = append(results, a)
			output := 20 + 200*(i%5)
			all.Go(func() {
				s.CompleteInto(s.Context, a, 0, prompt(fmt.Sprintf("<long>%d", i), 300), output, dragonflypass.RankNormal)
			})
			time.Sleep(200 * time.Millisecond)
		}
		c.Check(s.Nodes[0].Dispatcher.Open(), qt.Equals, 0)
		c.Check(s.Nodes[0].Detector.Leaving(), qt.IsTrue)
		all.Wait()
		whole := 0
		for _, a := range results {
			if a.Err == nil {
				whole++
				continue
			}
			refusal, ok := dragonflypass.AsRefusal(a.Err)
			c.Assert(ok, qt.IsTrue)
			c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo, qt.Commentf("%v", refusal))
		}
		c.Check(whole > 100, qt.IsTrue, qt.Commentf("%d whole answers", whole))
	})
}

// TestEntryVMsWindowStartsAtOnce has a sheet name a window that has begun: the VM leaves, and what it runs goes on to its end.
func TestEntryVMsWindowStartsAtOnce(t *testing.T) {
	withSite(t, 3, 3, func(c *qt.C, s *fake.Site) {
		const running, output = 6, 700
		var all sync.WaitGroup
		answers := make([]*fake.Answer, running)
		text := func(i int) string { return prompt(fmt.Sprintf("<long>%d", i), 300) }
		for i := range answers {
			answers[i] = &fake.Answer{}
			all.Go(func() { s.CompleteInto(s.Context, answers[i], 0, text(i), output, dragonflypass.RankNormal) })
		}
		time.Sleep(time.Second)
		putSheet(c, s, "2000-01-01", window("vm-1", time.Now(), time.Minute))
		c.Check(s.Nodes[0].Detector.Leaving(), qt.IsTrue)
		refused := s.Complete(s.Context, 0, prompt("late", 200), 5, dragonflypass.RankUrgent)
		refusal, ok := dragonflypass.AsRefusal(refused.Err)
		c.Assert(ok, qt.IsTrue)
		c.Check(refusal.Reason, qt.Equals, dragonflypass.ReasonLeaving)
		c.Check(refusal.Executed, qt.Equals, dragonflypass.ExecutedNo)
		time.Sleep(leaveTime)
		granted := s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted)
		for i := range 30 {
			other := prompt(fmt.Sprintf("other%d", i), 200)
			checkWhole(c, s.Complete(s.Context, 1+i%2, other, 5, dragonflypass.RankUrgent), other, 5)
		}
		c.Check(s.Nodes[0].Meter.Count(dragonflypass.CountPermitGranted), qt.Equals, granted)
		all.Wait()
		for i, a := range answers {
			checkWhole(c, a, text(i), output)
		}
	})
}
