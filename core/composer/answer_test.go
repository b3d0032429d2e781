package composer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

func contextWithCancel(s *fake.Site) (context.Context, context.CancelFunc) {
	return context.WithCancel(s.Context)
}

// mangler delivers frames late, crossed, repeated, truncated and under other names.
type mangler struct {
	mutex  sync.Mutex
	draw   func(label string, limit int) int
	late   []dragonflypass.Frame
	budget int
}

func (m *mangler) mangle(_ dragonflypass.EngineCall, frame dragonflypass.Frame) []dragonflypass.Frame {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.budget == 0 {
		return []dragonflypass.Frame{frame}
	}
	m.budget--
	other := frame
	switch m.draw("fault", 8) {
	case 0: // repeated
		return []dragonflypass.Frame{frame, frame}
	case 1: // of another stream
		other.Stream.Sequence += 1000
		other.Text = "foreign"
		return []dragonflypass.Frame{other, frame}
	case 2: // of another attempt
		other.Attempt += 7
		other.Text = "stale"
		return []dragonflypass.Frame{other, frame}
	case 3: // lost
		return nil
	case 4: // held back and delivered later, to whoever streams then
		m.late = append(m.late, frame)
		return nil
	case 5: // with what was held back
		held := m.late
		m.late = nil
		return append(held, frame)
	case 6: // a last frame with the wrong count
		other.End, other.Count, other.Text, other.Tokens = true, frame.Index+3, "", 0
		return []dragonflypass.Frame{other}
	}
	return []dragonflypass.Frame{frame}
}

func TestWholeAnswerToOwnRequest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 7), 20, 200).Draw(r, "faults")
		cut := rapid.IntRange(0, 12).Draw(r, "cut")
		next := 0
		m := &mangler{budget: len(faults), draw: func(string, int) int {
			next++
			return faults[next-1]
		}}
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := fake.NewSite(t.Context(), 2, 3)
			s.Engines.Mangle = m.mangle
			s.Start()
			s.Engines.SetCutAfter(cut)
			var all sync.WaitGroup
			results := make([]*fake.Answer, 6)
			for i := range results {
				results[i] = &fake.Answer{}
				all.Go(func() {
					s.CompleteInto(s.Context, results[i], i%2, prompt(fmt.Sprintf("p%d", i), 50), 10, dragonflypass.RankNormal)
				})
			}
			all.Wait()
			for i, a := range results {
				if a.Err == nil {
					checkWhole(c, a, prompt(fmt.Sprintf("p%d", i), 50), 10)
					continue
				}
				checkRan(c, a)
			}
		})
	})
}

// TestServerReusesStreamNumber has a restarted server give another answer under a stream's number.
func TestServerReusesStreamNumber(t *testing.T) {
	withSite(t, 2, 2, func(c *qt.C, s *fake.Site) {
		text := prompt("mine", 500)
		answer := &fake.Answer{}
		done := make(chan struct{})
		go func() {
			s.CompleteInto(s.Context, answer, 0, text, 40, dragonflypass.RankNormal)
			close(done)
		}()
		time.Sleep(300 * time.Millisecond)
		for _, server := range s.Servers {
			if server.Used() > 0 {
				server.Die()
				server.Revive()
			}
		}
		<-done
		checkWhole(c, answer, text, 40)
	})
}
