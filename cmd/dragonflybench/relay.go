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
	// relayPrompt is the text of the prompts that measure the time to first byte. A number before it makes each prompt
	// different.
	relayPrompt = "Hej, hvad sker der i dag?"
	// ticksPerSecond is the number of clock ticks per second, the unit of CPU times in /proc/PID/stat.
	ticksPerSecond = 100
)

// relayBenchmark measures the latency and CPU time that an entry VM adds to streams.
type relayBenchmark struct {
	server string
	entry  string
	key    string
	model  string
	pid    int
	calls  int
	// streams is the number of concurrent streams in the throughput measurement, tokens the length of each.
	streams int
	tokens  int
}

func newRelayCommand() *cobra.Command {
	r := &relayBenchmark{}
	command := &cobra.Command{
		Use:     "relay",
		Short:   "Measure the latency and CPU time that an entry VM adds to streams",
		Long:    "Measure the latency and CPU time that an entry VM adds to streams on a running site.\n\nexamples/site/relay.sh starts a site and runs this command.",
		Example: "  dragonflybench relay --server 127.0.0.1:18401 --entry 127.0.0.1:18101 --key demo-key --pid 4242",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return r.run(command.Context(), command.OutOrStdout()) },
	}
	flags := command.Flags()
	flags.StringVar(&r.server, "server", "", "address of a backend server, called directly")
	flags.StringVar(&r.entry, "entry", "", "caller address of an entry VM")
	flags.StringVar(&r.key, "key", "", "API key of a client account")
	flags.StringVar(&r.model, "model", "small", "requested model")
	flags.IntVar(&r.pid, "pid", 0, "process ID of the entry VM, to read its CPU time and memory")
	flags.IntVar(&r.calls, "calls", 400, "number of requests for the time to first byte")
	flags.IntVar(&r.streams, "streams", 300, "number of concurrent streams for the throughput")
	flags.IntVar(&r.tokens, "tokens", 2000, "length of each concurrent stream in tokens")
	return command
}

func (r *relayBenchmark) run(ctx context.Context, out io.Writer) error {
	for _, address := range []string{r.server, r.entry} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%q is not an IP address with a port", address)
		}
	}
	serverTimes, err := r.measureFirstByte(ctx, r.serverRequest)
	if err != nil {
		return err
	}
	entryTimes, err := r.measureFirstByte(ctx, r.entryRequest)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "time to first byte\tp50\tp99\t")
	fmt.Fprintf(table, "direct\t%s\t%s\t\n", serverTimes[len(serverTimes)/2], serverTimes[len(serverTimes)*99/100])
	fmt.Fprintf(table, "through an entry VM\t%s\t%s\t\n", entryTimes[len(entryTimes)/2], entryTimes[len(entryTimes)*99/100])
	fmt.Fprintf(table, "added\t%s\t%s\t\n", entryTimes[len(entryTimes)/2]-serverTimes[len(serverTimes)/2], entryTimes[len(entryTimes)*99/100]-serverTimes[len(serverTimes)*99/100])
	_ = table.Flush()
	return r.measureThroughput(ctx, out)
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

func (r *relayBenchmark) serverRequest(number int) (target string, body any) {
	return "http://" + r.server + "/v1/completions", serverCall{Model: r.model, Prompt: fmt.Sprint(number, relayPrompt), Output: 2, ID: fmt.Sprintf("bench.%d.%d", os.Getpid(), number)}
}

func (r *relayBenchmark) entryRequest(number int) (target string, body any) {
	return "http://" + r.entry + "/v1/completions", entryCall{Model: r.model, Prompt: fmt.Sprint(number, relayPrompt), Output: 2, Stream: true}
}

// measureFirstByte makes r.calls requests and returns their times to the first byte of the response body, sorted.
func (r *relayBenchmark) measureFirstByte(ctx context.Context, call func(int) (string, any)) ([]time.Duration, error) {
	var durations []time.Duration
	for number := range r.calls {
		target, body := call(number)
		start := time.Now()
		response, err := r.post(ctx, target, body)
		if err != nil {
			return nil, err
		}
		_, err = io.ReadAtLeast(response.Body, make([]byte, 1), 1)
		durations = append(durations, time.Since(start))
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("%s: %s %w", target, response.Status, cmp.Or(err, errUnexpectedStatus))
		}
	}
	slices.Sort(durations)
	return durations, nil
}

var errUnexpectedStatus = errors.New("unexpected status")

func (r *relayBenchmark) post(ctx context.Context, target string, body any) (*http.Response, error) {
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

// measureThroughput runs many streams at once and compares their tokens with the CPU time of the entry VM.
func (r *relayBenchmark) measureThroughput(ctx context.Context, out io.Writer) error {
	before, err := readProcessUsage(r.pid)
	if err != nil {
		return err
	}
	start := time.Now()
	var tokens atomic.Int64
	var refused atomic.Int64
	var wg sync.WaitGroup
	for number := range r.streams {
		wg.Go(func() {
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
	wg.Wait()
	elapsed := time.Since(start)
	after, err := readProcessUsage(r.pid)
	if err != nil {
		return err
	}
	cpuTime := after.cpuTime - before.cpuTime
	fmt.Fprintf(out, "%d streams of %d tokens, %d refused: %d tokens in %s, %.0f a second\n",
		r.streams, r.tokens, refused.Load(), tokens.Load(), elapsed.Round(time.Millisecond), float64(tokens.Load())/elapsed.Seconds())
	fmt.Fprintf(out, "processor time of the entry VM %s: %.0f tokens a second on one core\n", cpuTime, float64(tokens.Load())/cpuTime.Seconds())
	fmt.Fprintf(out, "memory of the entry VM %d KiB before, %d KiB after\n", before.memory, after.memory)
	return nil
}

// processUsage is the CPU time and memory of a process as reported in /proc/PID/stat.
type processUsage struct {
	cpuTime time.Duration
	// memory is the resident memory in KiB.
	memory int
}

func readProcessUsage(pid int) (processUsage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, err
	}
	// The command name in parentheses may contain spaces, so the fields are counted from the last closing parenthesis.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const userIndex, systemIndex, residentIndex = 11, 12, 21
	ticks := 0
	for _, field := range []string{fields[userIndex], fields[systemIndex]} {
		value, err := strconv.Atoi(field)
		if err != nil {
			return processUsage{}, err
		}
		ticks += value
	}
	pages, err := strconv.Atoi(fields[residentIndex])
	if err != nil {
		return processUsage{}, err
	}
	return processUsage{cpuTime: time.Duration(ticks) * time.Second / ticksPerSecond, memory: pages * os.Getpagesize() / 1024}, nil
}
