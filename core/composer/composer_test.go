package composer_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/locker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
	"github.com/dragonflypass/dragonflypass/standin/generator"
)

func TestMain(m *testing.M) {
	locker.EnableChecks()
	os.Exit(m.Run())
}

// withSite runs the test in virtual time on a started site. time.Sleep in the test advances virtual time only.
func withSite(t *testing.T, nodes, servers int, test func(c *qt.C, s *fake.Site)) {
	t.Helper()
	withPreparedSite(t, nodes, servers, func(*fake.Site) {}, test)
}

// withPreparedSite runs the test in virtual time on a site that prepare has changed before its start.
func withPreparedSite(t *testing.T, nodes, servers int, prepare func(*fake.Site), test func(c *qt.C, s *fake.Site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewSite(t.Context(), nodes, servers)
		prepare(s)
		s.Start()
		test(qt.New(t), s)
	})
}

// prompt returns a text that starts with the word and has the given number of tokens as the engines count them.
func prompt(word string, tokens int) string {
	return (word + strings.Repeat(" abc", tokens))[:4*tokens]
}

// checkCompleteAnswer checks that the caller got the complete answer to its own prompt.
func checkCompleteAnswer(c *qt.C, a *fake.Answer, prompt string, output int) {
	c.Helper()
	c.Assert(a.Err, qt.IsNil)
	c.Check(a.Text(), qt.Equals, generator.Answer(prompt, output))
}

func TestRequestThroughEveryNode(t *testing.T) {
	withSite(t, 6, 6, func(c *qt.C, s *fake.Site) {
		for node := range s.Nodes {
			text := prompt("hello", 200+node)
			a := s.Complete(s.Context, node, text, 20, dragonflypass.RankUrgent)
			checkCompleteAnswer(c, a, text, 20)
		}
		time.Sleep(5 * time.Second)
		for _, server := range s.Servers {
			c.Check(server.Used(), qt.Equals, 0)
		}
	})
}

// sizes returns the sizes at which a test runs. The larger one runs without the race detector, as the tests of large fleets do.
func sizes(small, large int) []int {
	if testing.Short() {
		return []int{small}
	}
	return []int{small, large}
}
