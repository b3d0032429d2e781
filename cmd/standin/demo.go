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
	// demoMemory is the KV memory of each server in tokens.
	demoMemory  = 120_000
	demoPrefill = 400_000
	demoDecode  = 100
	demoOutput  = 24
	// demoRepeats is the number of prompts of each length and rank.
	demoRepeats = 3
	demoTime    = 2 * time.Minute
)

// demoLengths are the prompt lengths in tokens; the last is longer than one server holds.
var demoLengths = []int{1_000, 10_000, 60_000, 270_000}

func newDemoCommand() *cobra.Command {
	var keep bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole small site in one process and send prompts through it",
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
		Nodes: demoNodes, Servers: demoServers, Memory: demoMemory, Prefill: demoPrefill, Decode: demoDecode, Slots: 32, Output: io.Discard,
	}
	fmt.Fprintf(out, "starting %d entry VMs, %d backend servers, a plain service and the platform\n", demoNodes, demoServers)
	if err := site.Start(ctx); err != nil {
		return err
	}
	defer site.Stop(context.WithoutCancel(ctx))
	if keep {
		return keepServing(ctx, out, site)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	results := sendPrompts(ctx, out, site)
	printResults(out, results)
	once := confirmTwice(ctx, out, site)
	var failed error
	for _, r := range results {
		if r.err != nil {
			failed = errors.Join(failed, fmt.Errorf("%d tokens, rank %s: %w", r.length, r.rank, r.err))
		}
	}
	return errors.Join(failed, once)
}

func keepServing(ctx context.Context, out io.Writer, site *starter.Site) error {
	fmt.Fprintf(out, "serving; stop with Ctrl-C. Try:\n\n  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -H 'Content-Type: application/json' -d '{\"model\": \"%s\", \"prompt\": \"Hej\", \"stream\": true}'\n\n",
		site.CallerAddress(0), starter.Keys[0], starter.Model)
	<-ctx.Done()
	return nil
}

// result is what came of one prompt.
type result struct {
	length int
	rank   dragonflypass.Rank
	first  time.Duration
	err    error
}

// sendPrompts sends prompts of every length in every rank through all entry VMs.
func sendPrompts(ctx context.Context, out io.Writer, site *starter.Site) []result {
	var mutex sync.Mutex
	var results []result
	var sending sync.WaitGroup
	total := len(demoLengths) * dragonflypass.RankCount * demoRepeats
	number := 0
	for range demoRepeats {
		for _, length := range demoLengths {
			for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
				number++
				node, seed := number%demoNodes, number
				sending.Go(func() {
					r := sendPrompt(ctx, site, node, seed, length, rank)
					mutex.Lock()
					defer mutex.Unlock()
					results = append(results, r)
					fmt.Fprintf(out, "\ranswered %d of %d prompts", len(results), total)
				})
			}
		}
	}
	sending.Wait()
	fmt.Fprintln(out)
	slices.SortFunc(results, func(a, b result) int {
		return cmp.Or(cmp.Compare(a.length, b.length), cmp.Compare(a.rank, b.rank), cmp.Compare(a.first, b.first))
	})
	return results
}

func sendPrompt(ctx context.Context, site *starter.Site, node, seed, length int, rank dragonflypass.Rank) result {
	r := result{length: length, rank: rank}
	prompt := (fmt.Sprintf("%d ", seed) + strings.Repeat("ord ", length))[:4*length]
	body, _ := json.Marshal(completion{Model: starter.Model, Prompt: prompt, Output: demoOutput, Stream: true})
	begun := time.Now()
	response, err := post(ctx, "http://"+site.CallerAddress(node).String()+"/v1/completions", starter.Keys[rank], "", body)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	text, first, err := readStream(response)
	r.first, r.err = first.Sub(begun), err
	if wanted := generator.Answer(prompt, demoOutput); err == nil && text != wanted {
		r.err = fmt.Errorf("answer of %d bytes, not the %d expected", len(text), len(wanted))
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

// chunk is the JSON form of one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Detail string `json:"detail"`
}

func post(ctx context.Context, target, key, idempotency string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	return http.DefaultClient.Do(request)
}

// readStream returns the answer's text and the instant of its first part.
func readStream(response *http.Response) (text string, first time.Time, err error) {
	data, err := io.ReadAll(&firstReader{reader: response.Body, first: &first})
	if err != nil {
		return "", first, err
	}
	if response.StatusCode != http.StatusOK {
		return "", first, fmt.Errorf("%s: %s", response.Status, data)
	}
	var whole strings.Builder
	for line := range strings.Lines(string(data)) {
		event, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || event == "[DONE]" {
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(event), &c); err != nil {
			return "", first, err
		}
		if c.Detail != "" {
			return "", first, errors.New(c.Detail)
		}
		for _, choice := range c.Choices {
			whole.WriteString(choice.Text)
		}
	}
	return whole.String(), first, nil
}

// firstReader notes the instant of the first byte.
type firstReader struct {
	reader io.Reader
	first  *time.Time
}

// Read reads on.
func (f *firstReader) Read(p []byte) (int, error) {
	n, err := f.reader.Read(p)
	if n > 0 && f.first.IsZero() {
		*f.first = time.Now()
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
		whole := 0
		for _, r := range group {
			if r.err == nil {
				whole++
			}
		}
		fmt.Fprintf(table, "%d\t%s\t%d of %d\t%s\t%s\t\n", group[0].length, group[0].rank, whole, n,
			group[n/2].first.Round(time.Millisecond), group[n-1].first.Round(time.Millisecond))
	}
	_ = table.Flush()
}

// confirmTwice sends one call that may not be repeated twice with one key, through two entry VMs.
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
