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

// mangler injects faults into the frames of streams: it duplicates, drops, delays and alters them.
type mangler struct {
	mutex      sync.Mutex
	draw       func(label string, limit int) int
	delayed    []dragonflypass.Frame
	faultsLeft int
}

func (m *mangler) mangle(_ dragonflypass.EngineCall, frame dragonflypass.Frame) []dragonflypass.Frame {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.faultsLeft == 0 {
		return []dragonflypass.Frame{frame}
	}
	m.faultsLeft--
	altered := frame
	switch m.draw("fault", 8) {
	case 0: // duplicate
		return []dragonflypass.Frame{frame, frame}
	case 1: // preceded by a frame of another stream
		altered.Stream.Sequence += 1000
		altered.Text = "foreign"
		return []dragonflypass.Frame{altered, frame}
	case 2: // preceded by a frame of another attempt
		altered.Attempt += 7
		altered.Text = "stale"
		return []dragonflypass.Frame{altered, frame}
	case 3: // dropped
		return nil
	case 4: // delayed, and delivered later to any stream that is open then
		m.delayed = append(m.delayed, frame)
		return nil
	case 5: // preceded by all delayed frames
		delayed := m.delayed
		m.delayed = nil
		return append(delayed, frame)
	case 6: // replaced by a final frame with a wrong count
		altered.End, altered.Count, altered.Text, altered.Tokens = true, frame.Index+3, "", 0
		return []dragonflypass.Frame{altered}
	}
	return []dragonflypass.Frame{frame}
}

// TestCompleteAnswersDespiteFrameFaults checks that a caller gets either the complete answer to its own prompt or an
// error, while frames are duplicated, dropped, delayed and altered and connections are cut.
func TestCompleteAnswersDespiteFrameFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 7), 20, 200).Draw(r, "faults")
		cutAfter := rapid.IntRange(0, 12).Draw(r, "cut")
		next := 0
		m := &mangler{faultsLeft: len(faults), draw: func(string, int) int {
			next++
			return faults[next-1]
		}}
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := fake.NewSite(t.Context(), 2, 3)
			s.Engines.TransformFrame = m.mangle
			s.Start()
			s.Engines.SetBreakAfter(cutAfter)
			var wg sync.WaitGroup
			results := make([]*fake.Answer, 6)
			for i := range results {
				results[i] = &fake.Answer{}
				wg.Go(func() {
					s.CompleteInto(s.Context, results[i], i%2, prompt(fmt.Sprintf("p%d", i), 50), 10, dragonflypass.RankNormal)
				})
			}
			wg.Wait()
			for i, a := range results {
				if a.Err == nil {
					checkCompleteAnswer(c, a, prompt(fmt.Sprintf("p%d", i), 50), 10)
					continue
				}
				checkExecutionStatus(c, a)
			}
		})
	})
}

// TestServerReusesStreamNumber guards against mixing two answers: a server that restarts produces another answer under
// the number of a stream that was open before.
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
				server.Crash()
				server.Restart()
			}
		}
		<-done
		checkCompleteAnswer(c, answer, text, 40)
	})
}
