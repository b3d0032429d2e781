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

// The targets. The time to the first token was set by the users, the ratios by the project.
const (
	firstTokenTarget     = 450 * time.Millisecond
	maxLongPromptRatio   = 1.5
	maxFloodRatio        = 1.5
	minShareFraction     = 0.9
	maxLargeAccountRatio = 1.3
)

// Check compares one measured figure with its target.
type Check struct {
	Site     string
	Name     string
	Measured string
	Target   string
	Met      bool
}

// Figure holds the figures of one scenario under one policy.
type Figure struct {
	Site     string
	Scenario string
	Policy   string
	// FirstToken is the distribution of the time to the first token in each length class.
	FirstToken [dragonflypass.ClassCount]Quantiles
	// ServedShares are the ranks' shares of the served tokens during the fault.
	ServedShares [dragonflypass.RankCount]float64
}

// run is one scenario under one policy, with its outcome.
type run struct {
	policy   string
	scenario string
	modeler.Outcome
}

// Evaluate runs every scenario under every policy and prints the tables. It returns the checks of the project's own policy
// and the figures of all policies. Without baselines it runs only the project's own policy.
func Evaluate(out io.Writer, seed uint64, baselines bool) ([]Check, []Figure) {
	var checks []Check
	var figures []Figure
	for _, site := range []modeler.Site{Copenhagen(), BinhMinh()} {
		runs := runAll(site, seed, baselines)
		fmt.Fprintf(out, "\n%s: %d backend servers, capacity %.0f prompt tokens a second, seed %d\n", site.Name, site.Servers, site.Capacity(), seed)
		printFirst(out, runs)
		printRanks(out, site, runs)
		checks = append(checks, checkTargets(site, runs)...)
		for _, r := range runs {
			figures = append(figures, figure(site, r))
		}
	}
	printChecks(out, checks)
	return checks, figures
}

func figure(site modeler.Site, r run) Figure {
	f := Figure{Site: site.Name, Scenario: r.scenario, Policy: r.policy, ServedShares: servedShares(r.Outcome, faultStart, faultEnd)}
	for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
		f.FirstToken[class] = firstTokenQuantiles(r.Results, ofClass(class))
	}
	return f
}

// runAll runs the scenarios in parallel. Each run is deterministic.
func runAll(site modeler.Site, seed uint64, baselines bool) []run {
	policies := Policies(seed)
	if !baselines {
		policies = policies[:1]
	}
	return runEach(site, seed, policies, Scenarios())
}

// Contrast runs the scenarios with crashing servers under the contrast policies and prints their tables.
func Contrast(out io.Writer, seed uint64) {
	for _, site := range []modeler.Site{Copenhagen(), BinhMinh()} {
		fmt.Fprintf(out, "\n%s: %d backend servers, seed %d\n", site.Name, site.Servers, seed)
		runs := runEach(site, seed, ContrastPolicies(seed), crashScenarios())
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
	var wg sync.WaitGroup
	slots := make(chan struct{}, 6)
	i := 0
	for _, scenario := range scenarios {
		for _, policy := range policies {
			index := i
			i++
			wg.Go(func() {
				slots <- struct{}{}
				runs[index].Outcome = Run(site, policy, scenario, seed)
				<-slots
			})
		}
	}
	wg.Wait()
	return runs
}

func printFirst(out io.Writer, runs []run) {
	fmt.Fprintln(out, "\ntime to first token by prompt length, p50/p95/p99 in ms; requests done, refused, failed or late")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tpolicy\tup to 2k\tup to 16k\tup to 128k\tover\tdone\trefused\tfailed\tlate\t")
	for _, r := range runs {
		fmt.Fprintf(table, "%s\t%s\t", r.scenario, r.policy)
		for class := range dragonflypass.LengthClass(dragonflypass.ClassCount) {
			fmt.Fprintf(table, "%s\t", firstTokenQuantiles(r.Results, ofClass(class)))
		}
		c := count(r.Results, func(*modeler.Result) bool { return true })
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t\n", c.Done, c.Refused, c.Failed, c.MissedDeadline)
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
			fmt.Fprintf(table, "%s\t", firstTokenQuantiles(r.Results, both(ofRank(rank), during(faultStart, faultEnd))))
		}
		for _, share := range servedShares(r.Outcome, faultStart, faultEnd) {
			fmt.Fprintf(table, "%.0f%%\t", 100*share)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

// checkTargets checks the project's own policy against the targets.
func checkTargets(site modeler.Site, runs []run) []Check {
	outcomes := make(map[string]modeler.Outcome)
	for _, r := range runs {
		if r.policy == Policies(0)[0].Name {
			outcomes[r.scenario] = r.Outcome
		}
	}
	add := func(checks []Check, name, target, measured string, met bool) []Check {
		return append(checks, Check{Site: site.Name, Name: name, Target: target, Measured: measured, Met: met})
	}
	short := firstTokenQuantiles(outcomes["steady"].Results, ofClass(dragonflypass.ClassShort))
	checks := add(nil, "first token of prompts up to 2k at 70% load, p95", "at most "+firstTokenTarget.String(), short.P95.String(), short.P95 <= firstTokenTarget)
	noLongPrompts := firstTokenQuantiles(outcomes["steady without long prompts"].Results, ofClass(dragonflypass.ClassShort))
	longPromptRatio := ratio(short.P99, noLongPrompts.P99)
	checks = add(checks, "short prompts' p99 with long ones over without", fmt.Sprintf("at most %g", maxLongPromptRatio), fmt.Sprintf("%.2f", longPromptRatio), longPromptRatio <= maxLongPromptRatio)
	urgentDuringFault := both(ofRank(dragonflypass.RankUrgent), during(faultStart, faultEnd))
	unflooded := firstTokenQuantiles(outcomes["steady"].Results, urgentDuringFault)
	for _, name := range []string{"flood of bulk", "flood of normal"} {
		floodRatio := ratio(firstTokenQuantiles(outcomes[name].Results, urgentDuringFault).P95, unflooded.P95)
		checks = add(checks, "urgent p95 in a "+name+" over unflooded", fmt.Sprintf("at most %g", maxFloodRatio), fmt.Sprintf("%.2f", floodRatio), floodRatio <= maxFloodRatio)
	}
	for _, name := range []string{"flood of bulk", "flood of normal", "flood of urgent"} {
		checks = append(checks, checkMinShares(site, name, outcomes[name])...)
	}
	smallAccounts := func(r *modeler.Result) bool { return r.Account != largeAccount && r.Rank == dragonflypass.RankNormal }
	besideLarge := firstTokenQuantiles(outcomes["one large account"].Results, both(smallAccounts, during(faultStart, faultEnd)))
	withoutLarge := firstTokenQuantiles(outcomes["steady"].Results, both(smallAccounts, during(faultStart, faultEnd)))
	largeAccountRatio := ratio(besideLarge.P95, withoutLarge.P95)
	checks = add(checks, "small accounts' p95 beside a large one over without", fmt.Sprintf("at most %g", maxLargeAccountRatio), fmt.Sprintf("%.2f", largeAccountRatio), largeAccountRatio <= maxLargeAccountRatio)
	for _, scenario := range Scenarios() {
		c := count(outcomes[scenario.Name].Results, func(r *modeler.Result) bool { return true })
		checks = add(checks, "admitted requests that missed their deadline: "+scenario.Name, "0", fmt.Sprint(c.MissedDeadline), c.MissedDeadline == 0)
	}
	return checks
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }

// checkMinShares checks that each rank's share of the service during a flood is at least minShareFraction of its minimum
// share, or of its demand if that is less.
func checkMinShares(site modeler.Site, name string, outcome modeler.Outcome) []Check {
	var checks []Check
	// The first 20 seconds of the flood do not count: the queues are still filling up.
	from := faultStart + 20*time.Second
	shares, demands := servedShares(outcome, from, faultEnd), demandShares(site, outcome.Results, from, faultEnd)
	for rank := range dragonflypass.Rank(dragonflypass.RankCount) {
		minShare := minShareFraction * min(site.Ranks[rank].MinShare, demands[rank])
		checks = append(checks, Check{
			Site: site.Name, Name: fmt.Sprintf("part of the service kept by rank %s in a %s", rank, name),
			Target: fmt.Sprintf("at least %.3f", minShare), Measured: fmt.Sprintf("%.3f", shares[rank]), Met: shares[rank] >= minShare,
		})
	}
	return checks
}

func printChecks(out io.Writer, checks []Check) {
	fmt.Fprintln(out, "\ntargets")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range checks {
		status := "holds"
		if !c.Met {
			status = "FALLS SHORT"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n", status, c.Site, c.Name, c.Measured, c.Target)
	}
	_ = table.Flush()
}
