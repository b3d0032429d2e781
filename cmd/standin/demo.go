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
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/standin/generator"
	"github.com/dragonflypass/dragonflypass/standin/starter"
)

const (
	demoNodes   = 6
	demoServers = 12
	// demoKVCapacity is the capacity of each server's KV cache in tokens. The prefill rate of each server and the decode
	// rate of each stream are in tokens per second.
	demoKVCapacity   = 120_000
	demoPrefillRate  = 400_000
	demoDecodeRate   = 100
	demoOutputTokens = 24
	// demoPromptsPerCase is the number of prompts for each combination of length and rank.
	demoPromptsPerCase = 3
	demoTimeout        = 2 * time.Minute
)

// demoPromptLengths are the prompt lengths in tokens. The last one exceeds the KV cache of a single server.
var demoPromptLengths = []int{1_000, 10_000, 60_000, 270_000}

func newDemoCommand() *cobra.Command {
	var keep bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a small but complete site in one process and send prompts through it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDemo(command.Context(), command.OutOrStdout(), keep)
		},
	}
	command.Flags().BoolVar(&keep, "keep", false, "keep the site running and print how to call it")
	return command
}

func runDemo(ctx context.Context, out io.Writer, keep bool) error {
	site := &starter.Site{
		Nodes: demoNodes, Servers: demoServers, KVCapacity: demoKVCapacity, PrefillRate: demoPrefillRate, DecodeRate: demoDecodeRate, Slots: 32, Output: io.Discard,
	}
	fmt.Fprintf(out, "starting %d entry VMs, %d backend servers, a plain service and the platform\n", demoNodes, demoServers)
	if err := site.Start(ctx); err != nil {
		return err
	}
	defer site.Stop(context.WithoutCancel(ctx))
	if keep {
		return keepServing(ctx, out, site)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	results := sendPrompts(ctx, out, site)
	printResults(out, results)
	confirmErr := confirmTwice(ctx, out, site)
	var failures error
	for _, r := range results {
		if r.err != nil {
			failures = errors.Join(failures, fmt.Errorf("%d tokens, rank %s: %w", r.length, r.rank, r.err))
		}
	}
	return errors.Join(failures, confirmErr)
}

func keepServing(ctx context.Context, out io.Writer, site *starter.Site) error {
	fmt.Fprintf(out, "serving; stop with Ctrl-C. Try:\n\n  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -H 'Content-Type: application/json' -d '{\"model\": \"%s\", \"prompt\": \"Hej\", \"stream\": true}'\n\n",
		site.CallerAddress(0), starter.Keys[0], starter.Model)
	<-ctx.Done()
	return nil
}

// result is the outcome of one prompt.
type result struct {
	length           int
	rank             dragonflypass.Rank
	timeToFirstToken time.Duration
	err              error
}

// sendPrompts sends prompts of every length and rank, spread over all entry VMs, and returns the results sorted by
// length, rank and time to first token.
func sendPrompts(ctx context.Context, out io.Writer, site *starter.Site) []result {
	var mutex sync.Mutex
	var results []result
	var wg sync.WaitGroup
	total := len(demoPromptLengths) * dragonflypass.RankCount * demoPromptsPerCase
	number := 0
	for range demoPromptsPerCase {
		for _, length := range demoPromptLengths {
			for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
				number++
				node, seed := number%demoNodes, number
				wg.Go(func() {
					r := sendPrompt(ctx, site, node, seed, length, rank)
					mutex.Lock()
					defer mutex.Unlock()
					results = append(results, r)
					fmt.Fprintf(out, "\ranswered %d of %d prompts", len(results), total)
				})
			}
		}
	}
	wg.Wait()
	fmt.Fprintln(out)
	slices.SortFunc(results, func(a, b result) int {
		return cmp.Or(cmp.Compare(a.length, b.length), cmp.Compare(a.rank, b.rank), cmp.Compare(a.timeToFirstToken, b.timeToFirstToken))
	})
	return results
}

func sendPrompt(ctx context.Context, site *starter.Site, node, seed, length int, rank dragonflypass.Rank) result {
	r := result{length: length, rank: rank}
	prompt := (fmt.Sprintf("%d ", seed) + strings.Repeat("ord ", length))[:4*length]
	body, _ := json.Marshal(completion{Model: starter.Model, Prompt: prompt, Output: demoOutputTokens, Stream: true})
	start := time.Now()
	response, err := post(ctx, "http://"+site.CallerAddress(node).String()+"/v1/completions", starter.Keys[rank], "", body)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	text, firstByte, err := readStream(response)
	r.timeToFirstToken, r.err = firstByte.Sub(start), err
	if expected := generator.Answer(prompt, demoOutputTokens); err == nil && text != expected {
		r.err = fmt.Errorf("answer has %d bytes, expected %d", len(text), len(expected))
	}
	return r
}

// completion is the JSON body of a completion request.
type completion struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Output int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// chunk is the JSON form of one event of a streamed completion.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Detail string `json:"detail"`
}

func post(ctx context.Context, target, key, idempotencyKey string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return http.DefaultClient.Do(request)
}

// readStream returns the text of a streamed completion and the time at which its first byte was read.
func readStream(response *http.Response) (text string, firstByte time.Time, err error) {
	data, err := io.ReadAll(&firstByteReader{reader: response.Body, firstByte: &firstByte})
	if err != nil {
		return "", firstByte, err
	}
	if response.StatusCode != http.StatusOK {
		return "", firstByte, fmt.Errorf("%s: %s", response.Status, data)
	}
	var content strings.Builder
	for line := range strings.Lines(string(data)) {
		event, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || event == "[DONE]" {
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(event), &c); err != nil {
			return "", firstByte, err
		}
		if c.Detail != "" {
			return "", firstByte, errors.New(c.Detail)
		}
		for _, choice := range c.Choices {
			content.WriteString(choice.Text)
		}
	}
	return content.String(), firstByte, nil
}

// firstByteReader records the time at which the first byte is read.
type firstByteReader struct {
	reader    io.Reader
	firstByte *time.Time
}

// Read reads from the underlying reader and sets firstByte when the first data arrives.
func (f *firstByteReader) Read(p []byte) (int, error) {
	n, err := f.reader.Read(p)
	if n > 0 && f.firstByte.IsZero() {
		*f.firstByte = time.Now()
	}
	return n, err
}

func printResults(out io.Writer, results []result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "prompt tokens\trank\tanswered\tfirst token, median\tfirst token, longest\t")
	for len(results) > 0 {
		n := 1
		for n < len(results) && results[n].length == results[0].length && results[n].rank == results[0].rank {
			n++
		}
		group := results[:n]
		results = results[n:]
		answered := 0
		for _, r := range group {
			if r.err == nil {
				answered++
			}
		}
		fmt.Fprintf(table, "%d\t%s\t%d of %d\t%s\t%s\t\n", group[0].length, group[0].rank, answered, n,
			group[n/2].timeToFirstToken.Round(time.Millisecond), group[n-1].timeToFirstToken.Round(time.Millisecond))
	}
	_ = table.Flush()
}

// confirmTwice sends an at-most-once call twice with the same idempotency key, through two entry VMs. It returns an
// error unless the call ran exactly once.
func confirmTwice(ctx context.Context, out io.Writer, site *starter.Site) error {
	const key = "demo-confirmation"
	for node := range 2 {
		target := "http://" + site.CallerAddress(node).String() + "/services/" + starter.ServiceName + "/confirmations"
		response, err := post(ctx, target, starter.Keys[0], key, []byte(`{"pair": 7}`))
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("confirmation: %s", response.Status)
		}
	}
	runs := site.Service.Runs(key)
	fmt.Fprintf(out, "confirmation sent twice with one key: ran %d time(s)\n", runs)
	if runs != 1 {
		return fmt.Errorf("the confirmation ran %d times", runs)
	}
	return nil
}
