package evaluator

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/experiment/modeler"
)

// The targets: the first is the users', the others the project's own.
const (
	targetFirst   = 450 * time.Millisecond
	targetBlocked = 1.5
	targetUrgent  = 1.5
	targetFloor   = 0.9
	targetSmall   = 1.3
)

// Check is one figure held against its target.
type Check struct {
	Site   string
	Name   string
	Figure string
	Target string
	Holds  bool
}

// Figure sums up one scenario under one policy.
type Figure struct {
	Site     string
	Scenario string
	Policy   string
	// First is the time to the first token of each length class.
	First [dragonflypass.ClassCount]Spread
	// Parts are the ranks' parts of the service in the time of the fault.
	Parts [dragonflypass.RankCount]float64
}

// run is one scenario's results under one policy.
type run struct {
	policy   string
	scenario string
	modeler.Outcome
}

// Evaluate runs every scenario under every policy, prints the tables and returns the checks of the first policy
// and the figures of all. Without baselines only the project's own policy is run.
func Evaluate(out io.Writer, seed uint64, baselines bool) ([]Check, []Figure) {
	var checks []Check
	var figures []Figure
	for _, site := range []modeler.Site{Copenhagen(), BinhMinh()} {
		runs := runAll(site, seed, baselines)
		fmt.Fprintf(out, "\n%s: %d backend servers, capacity %.0f prompt tokens a second, seed %d\n", site.Name, site.Servers, site.Capacity(), seed)
		printFirst(out, runs)
		printRanks(out, site, runs)
		checks = append(checks, check(site, runs)...)
		for _, r := range runs {
			figures = append(figures, figure(site, r))
		}
	}
	printChecks(out, checks)
	return checks, figures
}

func figure(site modeler.Site, r run) Figure {
	f := Figure{Site: site.Name, Scenario: r.scenario, Policy: r.policy, Parts: served(r.Outcome, faultAt, faultEnd)}
	for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
		f.First[class] = spread(r.Results, ofClass(class))
	}
	return f
}

// runAll runs the scenarios side by side; each is deterministic by itself.
func runAll(site modeler.Site, seed uint64, baselines bool) []run {
	policies := Policies(seed)
	if !baselines {
		policies = policies[:1]
	}
	return runEach(site, seed, policies, Scenarios())
}

// Contrast runs the scenarios of dying servers under the contrasting policies and prints their tables.
func Contrast(out io.Writer, seed uint64) {
	for _, site := range []modeler.Site{Copenhagen(), BinhMinh()} {
		fmt.Fprintf(out, "\n%s: %d backend servers, seed %d\n", site.Name, site.Servers, seed)
		runs := runEach(site, seed, Contrasts(seed), deaths())
		printFirst(out, runs)
		printRanks(out, site, runs)
	}
}

func runEach(site modeler.Site, seed uint64, policies []modeler.Policy, scenarios []Scenario) []run {
	var runs []run
	for _, scenario := range scenarios {
		for _, policy := range policies {
			runs = append(runs, run{policy: policy.Name, scenario: scenario.Name})
		}
	}
	var running sync.WaitGroup
	slots := make(chan struct{}, 6)
	i := 0
	for _, scenario := range scenarios {
		for _, policy := range policies {
			at := i
			i++
			running.Go(func() {
				slots <- struct{}{}
				runs[at].Outcome = Run(site, policy, scenario, seed)
				<-slots
			})
		}
	}
	running.Wait()
	return runs
}

func printFirst(out io.Writer, runs []run) {
	fmt.Fprintln(out, "\ntime to first token by prompt length, p50/p95/p99 in ms; requests done, refused, failed or late")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\tup to 2k\tup to 16k\tup to 128k\tover\tdone\trefused\tfailed\tlate\t")
	for _, r := range runs {
		fmt.Fprintf(table, "%s\t%s\t", r.scenario, r.policy)
		for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
			fmt.Fprintf(table, "%s\t", spread(r.Results, ofClass(class)))
		}
		c := count(r.Results, func(*modeler.Result) bool { return true })
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t\n", c.Done, c.Refused, c.Failed, c.Missed)
	}
	_ = table.Flush()
}

func printRanks(out io.Writer, site modeler.Site, runs []run) {
	fmt.Fprintln(out, "\ntime to first token by rank in the time of the fault, p50/p95/p99 in ms; part of the tokens served in that time")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\turgent\tnormal\tbulk\turgent\tnormal\tbulk\t")
	for _, r := range runs {
		fmt.Fprintf(table, "%s\t%s\t", r.scenario, r.policy)
		for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
			fmt.Fprintf(table, "%s\t", spread(r.Results, both(ofRank(rank), during(faultAt, faultEnd))))
		}
		for _, part := range served(r.Outcome, faultAt, faultEnd) {
			fmt.Fprintf(table, "%.0f%%\t", 100*part)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

// check holds the project's own policy against the targets.
func check(site modeler.Site, runs []run) []Check {
	own := make(map[string]modeler.Outcome)
	for _, r := range runs {
		if r.policy == Policies(0)[0].Name {
			own[r.scenario] = r.Outcome
		}
	}
	add := func(checks []Check, name, target, figure string, holds bool) []Check {
		return append(checks, Check{Site: site.Name, Name: name, Target: target, Figure: figure, Holds: holds})
	}
	short := spread(own["steady"].Results, ofClass(dragonflypass.ClassShort))
	checks := add(nil, "first token of prompts up to 2k at 70% load, p95", "at most "+targetFirst.String(), short.P95.String(), short.P95 <= targetFirst)
	without := spread(own["steady without long prompts"].Results, ofClass(dragonflypass.ClassShort))
	blocked := ratio(short.P99, without.P99)
	checks = add(checks, "short prompts' p99 with long ones over without", fmt.Sprintf("at most %g", targetBlocked), fmt.Sprintf("%.2f", blocked), blocked <= targetBlocked)
	window := both(ofRank(dragonflypass.RankUrgent), during(faultAt, faultEnd))
	calm := spread(own["steady"].Results, window)
	for _, name := range []string{"flood of bulk", "flood of normal"} {
		urgent := ratio(spread(own[name].Results, window).P95, calm.P95)
		checks = add(checks, "urgent p95 in a "+name+" over unflooded", fmt.Sprintf("at most %g", targetUrgent), fmt.Sprintf("%.2f", urgent), urgent <= targetUrgent)
	}
	for _, name := range []string{"flood of bulk", "flood of normal", "flood of urgent"} {
		checks = append(checks, checkFloors(site, name, own[name])...)
	}
	small := func(r *modeler.Result) bool { return r.Account != bigAccount && r.Rank == dragonflypass.RankNormal }
	with := spread(own["one large account"].Results, both(small, during(faultAt, faultEnd)))
	alone := spread(own["steady"].Results, both(small, during(faultAt, faultEnd)))
	smaller := ratio(with.P95, alone.P95)
	checks = add(checks, "small accounts' p95 beside a large one over without", fmt.Sprintf("at most %g", targetSmall), fmt.Sprintf("%.2f", smaller), smaller <= targetSmall)
	for _, scenario := range Scenarios() {
		c := count(own[scenario.Name].Results, func(r *modeler.Result) bool { return true })
		checks = add(checks, "admitted requests that missed their deadline: "+scenario.Name, "0", fmt.Sprint(c.Missed), c.Missed == 0)
	}
	return checks
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// checkFloors holds each rank's part of the service in a flood against its floor, or its demand when that is less.
func checkFloors(site modeler.Site, name string, outcome modeler.Outcome) []Check {
	var checks []Check
	// The first part of the flood is left out, in which the queues form.
	from := faultAt + 20*time.Second
	parts, asked := served(outcome, from, faultEnd), demand(site, outcome.Results, from, faultEnd)
	for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
		wanted := targetFloor * min(site.Ranks[rank].MinShare, asked[rank])
		checks = append(checks, Check{
			Site: site.Name, Name: fmt.Sprintf("part of the service kept by rank %s in a %s", rank, name),
			Target: fmt.Sprintf("at least %.3f", wanted), Figure: fmt.Sprintf("%.3f", parts[rank]), Holds: parts[rank] >= wanted,
		})
	}
	return checks
}

func printChecks(out io.Writer, checks []Check) {
	fmt.Fprintln(out, "\ntargets")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range checks {
		verdict := "holds"
		if !c.Holds {
			verdict = "FALLS SHORT"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n", verdict, c.Site, c.Name, c.Figure, c.Target)
	}
	_ = table.Flush()
}
