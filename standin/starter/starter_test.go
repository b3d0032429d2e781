package starter_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/standin/generator"
	"github.com/dragonflypass/dragonflypass/standin/keeper"
	"github.com/dragonflypass/dragonflypass/standin/starter"
)

var site *starter.Site

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	site = &starter.Site{Nodes: 2, Servers: 3, KVCapacity: 100_000, PrefillRate: 200_000, DecodeRate: 5000, Slots: 8, Output: io.Discard}
	if err := site.Start(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := m.Run()
	site.Stop(context.Background())
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

// call describes an HTTP request to the port for callers.
type call struct {
	method, path, key, contentType, body string
	header                               http.Header
}

func (c call) send(ctx context.Context, node int) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+site.CallerAddress(node).String()+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.contentType != "" {
		request.Header.Set("Content-Type", c.contentType)
	}
	return http.DefaultClient.Do(request)
}

func completion(body string) call {
	return call{method: "POST", path: "/v1/completions", key: starter.Keys[0], contentType: "application/json", body: body}
}

func readBody(c *qt.C, response *http.Response) string {
	c.Helper()
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(data)
}

func TestBadInput(t *testing.T) {
	valid := `{"model": "small", "prompt": "Hej", "max_tokens": 3}`
	tests := []struct {
		name   string
		call   call
		status int
		reason dragonflypass.Reason
	}{
		{"malformed JSON", completion(`{"model": `), 400, "bad-request"},
		{"not an object", completion(`[1]`), 400, "bad-request"},
		{"deeply nested JSON", completion(strings.Repeat("[", 100_000)), 400, "bad-request"},
		{"empty body", completion(""), 400, "bad-request"},
		{"no prompt", completion(`{"model": "small"}`), 400, "bad-request"},
		{"two prompts", completion(`{"model": "small", "prompt": ["a", "b"]}`), 400, "bad-request"},
		{"negative limit", completion(`{"model": "small", "prompt": "a", "max_tokens": -1}`), 400, "bad-request"},
		{"two choices", completion(`{"model": "small", "prompt": "a", "n": 2}`), 400, "bad-request"},
		{"unknown model", completion(`{"model": "none", "prompt": "a"}`), 404, "not-found"},
		{"model not permitted for the account", completion(`{"model": "private", "prompt": "a"}`), 403, "forbidden"},
		{"prompt above the model's limit", completion(`{"model": "small", "prompt": "` + strings.Repeat("a", 4_100_000) + `"}`), 413, "too-large"},
		{"body above the limit", completion(`{"model": "small", "prompt": "` + strings.Repeat("a", 17<<20) + `"}`), 413, "too-large"},
		{"wrong content type", call{method: "POST", path: "/v1/completions", key: starter.Keys[0], contentType: "text/plain", body: valid}, 415, "media-type"},
		{"no content type", call{method: "POST", path: "/v1/completions", key: starter.Keys[0], body: valid}, 415, "media-type"},
		{"no key", call{method: "POST", path: "/v1/completions", contentType: "application/json", body: valid}, 401, "unauthorized"},
		{"wrong key", call{method: "POST", path: "/v1/completions", key: "wrong", contentType: "application/json", body: valid}, 401, "unauthorized"},
		{"operators' credential", call{method: "POST", path: "/v1/completions", key: site.AdminSecret(), contentType: "application/json", body: valid}, 401, "unauthorized"},
		{"wrong method", call{method: "PUT", path: "/v1/completions", key: starter.Keys[0]}, 405, "method"},
		{"unknown path", call{method: "GET", path: "/v2/none", key: starter.Keys[0]}, 404, "not-found"},
		{"unknown rank", call{method: "POST", path: "/v1/completions", key: starter.Keys[0], contentType: "application/json", body: valid, header: http.Header{"X-Rank": {"best"}}}, 400, "bad-request"},
		{"chat without messages", call{method: "POST", path: "/v1/chat/completions", key: starter.Keys[0], contentType: "application/json", body: `{"model": "small"}`}, 400, "bad-request"},
		{"chat with an image", call{method: "POST", path: "/v1/chat/completions", key: starter.Keys[0], contentType: "application/json", body: `{"model": "small", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}`}, 400, "bad-request"},
		{"unknown service", call{method: "POST", path: "/services/none/x", key: starter.Keys[0]}, 404, "not-found"},
		{"confirmation without a key", call{method: "POST", path: "/services/pairing/confirmations", key: starter.Keys[0]}, 400, "key-missing"},
		{"confirmation with a percent-encoded path", call{method: "POST", path: "/services/pairing/%63onfirmations", key: starter.Keys[0]}, 400, "key-missing"},
		{"idempotency key too long", call{method: "POST", path: "/services/pairing/confirmations", key: starter.Keys[0], header: http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}}, 400, "bad-request"},
		{"idempotency key older than the outcome retention", call{method: "POST", path: "/services/pairing/confirmations", key: starter.Keys[0], header: http.Header{"Idempotency-Key": {"01890000-0000-7000-8000-000000000000"}}}, 422, "key-reused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			response, err := test.call.send(t.Context(), 0)
			c.Assert(err, qt.IsNil)
			text := readBody(c, response)
			c.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf("%.300s", text))
			c.Check(response.Header.Get("Content-Type"), qt.Equals, "application/problem+json")
			var problem struct {
				Title, Ran, Detail, Request string
				Error                       struct{ Message string }
			}
			c.Assert(json.Unmarshal([]byte(text), &problem), qt.IsNil)
			c.Check(problem.Title, qt.Equals, string(test.reason))
			c.Check(problem.Ran, qt.Equals, "not")
			c.Check(problem.Detail, qt.Not(qt.Equals), "")
			c.Check(problem.Error.Message, qt.Equals, problem.Detail)
			c.Check(problem.Request, qt.Equals, response.Header.Get("X-Request-Id"))
		})
	}
}

func TestCompletion(t *testing.T) {
	c := qt.New(t)
	request := completion(`{"model": "small", "prompt": "Hej", "max_tokens": 3}`)
	request.header = http.Header{"X-Request-Id": {"mine"}}
	response, err := request.send(t.Context(), 1)
	c.Assert(err, qt.IsNil)
	text := readBody(c, response)
	c.Assert(response.StatusCode, qt.Equals, 200, qt.Commentf("%s", text))
	c.Check(response.Header.Get("X-Request-Id"), qt.Equals, "mine")
	var answer struct {
		Choices []struct{ Text string }
		Usage   struct {
			Prompt int `json:"prompt_tokens"`
			Output int `json:"completion_tokens"`
		}
	}
	c.Assert(json.Unmarshal([]byte(text), &answer), qt.IsNil)
	c.Check(answer.Choices[0].Text, qt.Equals, generator.Answer("Hej", 3))
	c.Check(answer.Usage.Output, qt.Equals, 3)
}

func TestChatStream(t *testing.T) {
	c := qt.New(t)
	request := call{method: "POST", path: "/v1/chat/completions", key: starter.Keys[1], contentType: "application/json; charset=utf-8",
		body: `{"model": "small", "messages": [{"role": "user", "content": "Hej"}], "max_tokens": 2, "stream": true, "stream_options": {"include_usage": true}}`}
	response, err := request.send(t.Context(), 0)
	c.Assert(err, qt.IsNil)
	c.Check(response.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
	var events []string
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, event)
		}
	}
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(events, qt.HasLen, 5)
	c.Check(events[0], qt.Contains, `"role":"assistant"`)
	c.Check(events[2], qt.Contains, `"finish_reason":"length"`)
	c.Check(events[3], qt.Contains, `"completion_tokens":2`)
	c.Check(events[4], qt.Equals, "[DONE]")
}

func TestModels(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/v1/models", "/v1/models/small"} {
		response, err := call{method: "GET", path: path, key: starter.Keys[2]}.send(t.Context(), 0)
		c.Assert(err, qt.IsNil)
		c.Check(readBody(c, response), qt.Contains, `"id":"small"`)
	}
}

func TestHealthChecksNeedNoCredential(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/healthz", "/readyz"} {
		response, err := call{method: "GET", path: path}.send(t.Context(), 0)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, 200)
		_ = readBody(c, response)
	}
}

// eventually waits until the condition holds, for at most a minute.
func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(time.Minute)
	for !condition() {
		select {
		case <-ticker.C:
		case <-timeout:
			c.Fatal("the condition did not hold within a minute")
		}
	}
}

func usedMemory() int {
	total := 0
	for _, engine := range site.Engines {
		total += engine.Used()
	}
	return total
}

const longCompletion = `{"model": "small", "prompt": "` + generator.LongAnswerMarker + `", "max_tokens": 90000, "stream": true}`

func TestCallerDisconnectsDuringStream(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	response, err := completion(longCompletion).send(ctx, 0)
	c.Assert(err, qt.IsNil)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Check(usedMemory() > 0, qt.IsTrue)
	cancel()
	_ = response.Body.Close()
	eventually(c, func() bool { return usedMemory() == 0 })
	eventually(c, func() bool {
		for _, node := range site.VMs {
			if len(node.Core.Scheduler.State().Permits) > 0 {
				return false
			}
		}
		return true
	})
}

func TestIncompleteHeadersTimeOut(t *testing.T) {
	c := qt.New(t)
	for _, address := range []string{site.CallerAddress(0).String(), site.AdminAddress(0).String()} {
		connection, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ")
		c.Assert(err, qt.IsNil)
		c.Assert(connection.SetReadDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
		_, err = io.ReadAll(connection)
		c.Check(err, qt.IsNil, qt.Commentf("the connection was not closed"))
		_ = connection.Close()
	}
}

// TestLostAnswerIsNotSentAgain checks that a confirmation runs only once when the service runs it and closes the connection
// without a response. Neither the HTTP transport nor a retry with the same idempotency key may send it again.
func TestLostAnswerIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	site.Service.LoseResponses(1)
	confirm := call{method: "POST", path: "/services/pairing/confirmations", key: starter.Keys[0], body: "x",
		header: http.Header{"Idempotency-Key": {"lost"}}}
	for node := range 2 {
		response, err := confirm.send(t.Context(), node)
		c.Assert(err, qt.IsNil)
		text := readBody(c, response)
		c.Check(response.StatusCode, qt.Equals, 409, qt.Commentf("%s", text))
		c.Check(text, qt.Contains, `"ran":"maybe"`)
	}
	c.Check(site.Service.Runs("lost"), qt.Equals, 1)

	var claims []administrator.Claim
	callAdmin(c, http.MethodGet, "/claims", nil, &claims)
	c.Assert(claims, qt.HasLen, 1)
	c.Check(claims[0].State, qt.Equals, "unknown")
	callAdmin(c, http.MethodPost, "/claims/settle", administrator.Settlement{Nonce: claims[0].Nonce, Executed: true}, nil)
	callAdmin(c, http.MethodGet, "/claims", nil, &claims)
	c.Check(claims, qt.HasLen, 0)
}

// callAdmin calls the port for operators and decodes the response into result, unless that is nil.
func callAdmin(c *qt.C, method, path string, body, result any) {
	c.Helper()
	data, err := json.Marshal(body)
	c.Assert(err, qt.IsNil)
	request, err := http.NewRequest(method, "http://"+site.AdminAddress(0).String()+path, bytes.NewReader(data))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+site.AdminSecret())
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	text := readBody(c, response)
	c.Assert(response.StatusCode < 300, qt.IsTrue, qt.Commentf("%s", text))
	if result != nil {
		c.Assert(json.Unmarshal([]byte(text), result), qt.IsNil)
	}
}

func TestCallersKeyOpensNeitherAdminNorPeers(t *testing.T) {
	c := qt.New(t)
	for _, target := range []string{
		"http://" + site.AdminAddress(0).String() + "/debug/state",
		"http://" + site.AdminAddress(0).String() + "/config",
		"http://" + site.VMs[0].Listeners.PeerAddress().String() + "/peer",
	} {
		request, err := http.NewRequest(http.MethodGet, target, nil)
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+starter.Keys[0])
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, 401)
		_ = readBody(c, response)
	}
}

func TestDumpContainsNoSecrets(t *testing.T) {
	c := qt.New(t)
	for _, path := range []string{"/debug/state", "/debug/vars", "/config"} {
		var dump json.RawMessage
		callAdmin(c, http.MethodGet, path, nil, &dump)
		for _, secret := range append(starter.Keys[:], site.AdminSecret(), "site-peers-secret") {
			c.Check(strings.Contains(string(dump), secret), qt.IsFalse)
		}
	}
}

func TestConfirmationsAreRefusedImmediatelyWhileLogIsDown(t *testing.T) {
	c := qt.New(t)
	site.Platform.SetFaults(keeper.Faults{Down: true})
	defer site.Platform.SetFaults(keeper.Faults{})
	confirm := call{method: "POST", path: "/services/pairing/confirmations", key: starter.Keys[0], body: "x",
		header: http.Header{"Idempotency-Key": {"down"}}}
	start := time.Now()
	response, err := confirm.send(t.Context(), 0)
	c.Assert(err, qt.IsNil)
	text := readBody(c, response)
	c.Check(response.StatusCode, qt.Equals, 503, qt.Commentf("%s", text))
	c.Check(text, qt.Contains, `"ran":"not"`)
	c.Check(time.Since(start) < 5*time.Second, qt.IsTrue)
	c.Check(site.Service.Runs("down"), qt.Equals, 0)

	response, err = completion(`{"model": "small", "prompt": "Hej", "max_tokens": 3}`).send(t.Context(), 0)
	c.Assert(err, qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, 200)
	_ = readBody(c, response)
}
