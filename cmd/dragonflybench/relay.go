package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

const (
	// relayPrompt is the prompt of the measured requests.
	relayPrompt = "Hej, hvad sker der i dag?"
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
)

// relay describes a measurement of what an entry VM adds.
type relay struct {
	server string
	entry  string
	key    string
	model  string
	pid    int
	calls  int
	// streams and tokens describe the load of the throughput measurement.
	streams int
	tokens  int
}

func newRelayCommand() *cobra.Command {
	r := &relay{}
	command := &cobra.Command{
		Use:     "relay",
		Short:   "Measure the time and processor time that an entry VM adds to streams",
		Long:    "Measure the time and processor time that an entry VM adds to streams, against a running site.\n\nexamples/site/relay.sh starts one.",
		Example: "  dragonflybench relay --server 127.0.0.1:18401 --entry 127.0.0.1:18101 --key demo-key --pid 4242",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return r.run(command.Context(), command.OutOrStdout()) },
	}
	flags := command.Flags()
	flags.StringVar(&r.server, "server", "", "address of a backend server, called directly")
	flags.StringVar(&r.entry, "entry", "", "address of an entry VM's callers' port")
	flags.StringVar(&r.key, "key", "", "bearer key of a client account")
	flags.StringVar(&r.model, "model", "small", "model to ask for")
	flags.IntVar(&r.pid, "pid", 0, "process of the entry VM, whose processor time is read")
	flags.IntVar(&r.calls, "calls", 400, "number of requests for the time to the first byte")
	flags.IntVar(&r.streams, "streams", 300, "number of streams at once for the throughput")
	flags.IntVar(&r.tokens, "tokens", 2000, "length of each of these streams in tokens")
	return command
}

func (r *relay) run(ctx context.Context, out io.Writer) error {
	for _, address := range []string{r.server, r.entry} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%q is not an IP address with a port", address)
		}
	}
	direct, err := r.first(ctx, r.direct)
	if err != nil {
		return err
	}
	through, err := r.first(ctx, r.through)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "time to first byte\tp50\tp99\t")
	fmt.Fprintf(table, "direct\t%s\t%s\t\n", direct[len(direct)/2], direct[len(direct)*99/100])
	fmt.Fprintf(table, "through an entry VM\t%s\t%s\t\n", through[len(through)/2], through[len(through)*99/100])
	fmt.Fprintf(table, "added\t%s\t%s\t\n", through[len(through)/2]-direct[len(direct)/2], through[len(through)*99/100]-direct[len(direct)*99/100])
	_ = table.Flush()
	return r.throughput(ctx, out)
}

// serverCall is the JSON body of a call to a backend server.
type serverCall struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Output int    `json:"max_tokens"`
	ID     string `json:"id"`
}

// entryCall is the JSON body of a call to an entry VM.
type entryCall struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Output int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

func (r *relay) direct(number int) (target string, body any) {
	return "http://" + r.server + "/v1/completions", serverCall{Model: r.model, Prompt: fmt.Sprint(number, relayPrompt), Output: 2, ID: fmt.Sprintf("bench.%d.%d", os.Getpid(), number)}
}

func (r *relay) through(number int) (target string, body any) {
	return "http://" + r.entry + "/v1/completions", entryCall{Model: r.model, Prompt: fmt.Sprint(number, relayPrompt), Output: 2, Stream: true}
}

// first returns the sorted times to the first byte of the answer's first part.
func (r *relay) first(ctx context.Context, call func(int) (string, any)) ([]time.Duration, error) {
	var spans []time.Duration
	for number := range r.calls {
		target, body := call(number)
		begun := time.Now()
		response, err := r.post(ctx, target, body)
		if err != nil {
			return nil, err
		}
		_, err = io.ReadAtLeast(response.Body, make([]byte, 1), 1)
		spans = append(spans, time.Since(begun))
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("%s: %s %w", target, response.Status, cmp.Or(err, errStatus))
		}
	}
	slices.Sort(spans)
	return spans, nil
}

var errStatus = errors.New("not answered")

func (r *relay) post(ctx context.Context, target string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.key)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

// throughput relays many streams at once and sets their tokens against the entry VM's processor time.
func (r *relay) throughput(ctx context.Context, out io.Writer) error {
	before, err := readProcess(r.pid)
	if err != nil {
		return err
	}
	begun := time.Now()
	var tokens atomic.Int64
	var refused atomic.Int64
	var streams sync.WaitGroup
	for number := range r.streams {
		streams.Go(func() {
			body := entryCall{Model: r.model, Prompt: fmt.Sprint("<long>", number), Output: r.tokens, Stream: true}
			response, err := r.post(ctx, "http://"+r.entry+"/v1/completions", body)
			if err != nil {
				refused.Add(1)
				return
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != http.StatusOK {
				refused.Add(1)
				return
			}
			data, _ := io.ReadAll(response.Body)
			tokens.Add(int64(bytes.Count(data, []byte(`"finish_reason":null`))))
		})
	}
	streams.Wait()
	span := time.Since(begun)
	after, err := readProcess(r.pid)
	if err != nil {
		return err
	}
	spent := after.processor - before.processor
	fmt.Fprintf(out, "%d streams of %d tokens, %d refused: %d tokens in %s, %.0f a second\n",
		r.streams, r.tokens, refused.Load(), tokens.Load(), span.Round(time.Millisecond), float64(tokens.Load())/span.Seconds())
	fmt.Fprintf(out, "processor time of the entry VM %s: %.0f tokens a second on one core\n", spent, float64(tokens.Load())/spent.Seconds())
	fmt.Fprintf(out, "memory of the entry VM %d KiB before, %d KiB after\n", before.memory, after.memory)
	return nil
}

// process is what /proc says of a process.
type process struct {
	processor time.Duration
	// memory is the resident memory in KiB.
	memory int
}

func readProcess(pid int) (process, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return process{}, err
	}
	// The name in parentheses may hold spaces; the fields after it do not.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const user, system, resident = 11, 12, 21
	ticks := 0
	for _, field := range []string{fields[user], fields[system]} {
		value, err := strconv.Atoi(field)
		if err != nil {
			return process{}, err
		}
		ticks += value
	}
	pages, err := strconv.Atoi(fields[resident])
	if err != nil {
		return process{}, err
	}
	return process{processor: time.Duration(ticks) * time.Second / ticksPerSecond, memory: pages * os.Getpagesize() / 1024}, nil
}
