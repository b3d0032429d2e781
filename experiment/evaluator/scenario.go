package evaluator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/placer"
	"github.com/dragonflypass/dragonflypass/core/ranker"
	"github.com/dragonflypass/dragonflypass/core/sequencer"
	"github.com/dragonflypass/dragonflypass/experiment/modeler"
	"github.com/dragonflypass/dragonflypass/experiment/tracer"
)

const (
	// warm is the time before requests are counted.
	warm = 15 * time.Second
	// runTime is the time of arrivals, and drainTime the time after it.
	runTime   = 110 * time.Second
	drainTime = 50 * time.Second
	// faultAt and faultEnd bound the floods and faults of a scenario.
	faultAt  = 30 * time.Second
	faultEnd = 100 * time.Second
	// steady is the part of the capacity used by the steady load.
	steady = 0.7
	// flood is the part of the capacity that a flood asks for.
	flood = 3.0
	// longPart is the part of requests that have more than a hundred thousand tokens.
	longPart = 0.02
)

// Copenhagen leans to urgency.
func Copenhagen() modeler.Site {
	return modeler.Site{
		Name: "copenhagen", Nodes: 6, Servers: 14, Prefill: 24_000, Decode: 45, Memory: 420_000, Slots: 48,
		Ranks: [dragonflypass.RankCount]dragonflypass.RankPolicy{
			{FirstTokenTarget: 450 * time.Millisecond, Timeout: 30 * time.Second, MinShare: 0.6},
			{FirstTokenTarget: 2 * time.Second, Timeout: 3 * time.Minute, MinShare: 0.2},
			{FirstTokenTarget: time.Minute, Timeout: 12 * time.Hour, MinShare: 0.05},
		},
	}
}

// BinhMinh leans to floors.
func BinhMinh() modeler.Site {
	return modeler.Site{
		Name: "binhminh", Nodes: 6, Servers: 18, Prefill: 24_000, Decode: 45, Memory: 420_000, Slots: 48,
		Ranks: [dragonflypass.RankCount]dragonflypass.RankPolicy{
			{FirstTokenTarget: 450 * time.Millisecond, Timeout: 45 * time.Second, MinShare: 0.4},
			{FirstTokenTarget: 3 * time.Second, Timeout: 5 * time.Minute, MinShare: 0.3},
			{FirstTokenTarget: 5 * time.Minute, Timeout: 14 * time.Hour, MinShare: 0.25},
		},
	}
}

// Policies returns the project's policy and the baselines, with the random ones seeded.
func Policies(seed uint64) []modeler.Policy {
	first := func(func() [dragonflypass.RankCount]dragonflypass.RankPolicy) dragonflypass.Queue {
		return sequencer.New()
	}
	own := func(policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy) dragonflypass.Queue {
		return ranker.New(policies)
	}
	rotation := func() dragonflypass.Placement { return &placer.Rotation{} }
	fewest := func() dragonflypass.Placement { return placer.Fewest{} }
	uniform := func() dragonflypass.Placement { return &placer.Uniform{Random: rand.New(rand.NewPCG(seed, 7))} }
	least := func() dragonflypass.Placement { return placer.Least{} }
	return []modeler.Policy{
		{Name: "dragonflypass", Queue: own, Server: least},
		{Name: "first come, least wait", Queue: first, Server: least},
		{Name: "round robin", Queue: first, Server: rotation, Owner: rotation},
		{Name: "fewest outstanding", Queue: first, Server: fewest, Owner: fewest},
		{Name: "random", Queue: first, Server: uniform, Owner: uniform},
	}
}

// Scenario is a trace with events.
type Scenario struct {
	Name   string
	Loads  func(site modeler.Site) []tracer.Load
	Events []modeler.Event
	// Extra is added to the trace.
	Extra func(site modeler.Site) []tracer.Request
}

const bigAccount = dragonflypass.AccountID("big")

// accounts are the ten client accounts of a site.
func accounts() []dragonflypass.AccountID {
	var ids []dragonflypass.AccountID
	for i := range 10 {
		ids = append(ids, dragonflypass.AccountID(fmt.Sprintf("account-%d", i)))
	}
	return ids
}

// mix is the steady load over the ranks, with the given part of long prompts, none of them urgent.
func mix(site modeler.Site, part, long float64) []tracer.Load {
	total := site.Capacity() * part
	load := func(rank dragonflypass.Rank, share, long float64) tracer.Load {
		return tracer.Load{Rank: rank, Rate: total * share, Accounts: accounts(), Until: runTime, Long: long}
	}
	return []tracer.Load{load(dragonflypass.RankUrgent, 0.3, 0), load(dragonflypass.RankNormal, 0.4, long*1.5), load(dragonflypass.RankBulk, 0.3, long*3)}
}

// flooded adds a flood of one rank to the steady load.
func flooded(rank dragonflypass.Rank) func(modeler.Site) []tracer.Load {
	return func(site modeler.Site) []tracer.Load {
		return append(mix(site, steady, longPart), tracer.Load{
			Rank: rank, Rate: site.Capacity() * flood, Accounts: accounts(), From: faultAt, Until: faultEnd, Long: 0,
		})
	}
}

func steadyLoad(site modeler.Site) []tracer.Load { return mix(site, steady, longPart) }

// Scenarios returns the scenarios in the order of the report.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Loads: steadyLoad},
		{Name: "steady without long prompts", Loads: withoutLong},
		{Name: "flood of bulk", Loads: flooded(dragonflypass.RankBulk)},
		{Name: "flood of normal", Loads: flooded(dragonflypass.RankNormal)},
		{Name: "flood of urgent", Loads: flooded(dragonflypass.RankUrgent)},
		{Name: "one large account", Loads: func(site modeler.Site) []tracer.Load {
			return append(mix(site, steady, longPart), tracer.Load{
				Rank: dragonflypass.RankNormal, Rate: site.Capacity() * steady * 0.4, Accounts: []dragonflypass.AccountID{bigAccount}, From: faultAt, Until: faultEnd,
			})
		}},
		{Name: "burst of long prompts", Loads: steadyLoad, Extra: longBurst},
		{Name: "zone lost", Loads: steadyLoad, Events: []modeler.Event{{At: faultAt, Run: modeler.LoseZone("a")}}},
		{Name: "windows in progress", Loads: steadyLoad, Events: []modeler.Event{
			{At: faultAt, Run: modeler.Windows(20*time.Second, 40*time.Second, 0, 1)},
		}},
		{Name: "crashing request", Loads: steadyLoad, Extra: crashing},
	}
}

// withoutLong is the steady load without its long prompts, the others coming at the same rate.
func withoutLong(site modeler.Site) []tracer.Load {
	loads := mix(site, steady, longPart)
	for i := range loads {
		loads[i].Rate *= tracer.Mean(0) / tracer.Mean(loads[i].Long)
		loads[i].Long = 0
	}
	return loads
}

// longBurst has a dozen prompts of 200,000 tokens come at once, twice.
func longBurst(modeler.Site) []tracer.Request {
	const prompts, tokens = 12, 200_000
	var extra []tracer.Request
	for _, at := range []time.Duration{faultAt, faultAt + 40*time.Second} {
		for i := range prompts {
			r := tracer.Request{At: at, Account: accounts()[i%10], Rank: dragonflypass.RankNormal, Prompt: tokens, Output: 100}
			copy(r.Body[:], fmt.Sprintf("burst/%s/%d", at, i))
			extra = append(extra, r)
		}
	}
	return extra
}

// crashing has one request that crashes its server sent every second.
func crashing(modeler.Site) []tracer.Request {
	var extra []tracer.Request
	for at := faultAt; at < faultEnd; at += time.Second {
		r := tracer.Request{At: at, Account: accounts()[0], Rank: dragonflypass.RankNormal, Prompt: 2_000, Output: 100, Crashes: true}
		copy(r.Body[:], "crashing")
		extra = append(extra, r)
	}
	return extra
}

// Run runs a scenario.
func Run(site modeler.Site, policy modeler.Policy, scenario Scenario, seed uint64) modeler.Outcome {
	trace := tracer.Make(seed, scenario.Loads(site)...)
	if scenario.Extra != nil {
		trace = append(trace, scenario.Extra(site)...)
	}
	return modeler.Run(site, policy, trace, runTime+drainTime, scenario.Events...)
}

// Contrasts returns the project's policy and MAHEVE's two ideas on top of it: a reserve in each
// zone with replacement within the zone first, and zones ranked by equation 1.
func Contrasts(seed uint64) []modeler.Policy {
	plain := Policies(seed)[0]
	reserve, zones := plain, plain
	reserve.Name, reserve.Reserve = "reserve in each zone", true
	zones.Name, zones.Zones = "zones ranked", true
	return []modeler.Policy{plain, reserve, zones}
}

// deaths are the scenarios for the contrasts.
func deaths() []Scenario {
	const every, down = 15 * time.Second, 20 * time.Second
	return []Scenario{
		{Name: "steady", Loads: steadyLoad},
		{Name: "servers die", Loads: steadyLoad, Events: []modeler.Event{{At: faultAt, Run: modeler.Deaths(every, down, faultEnd-faultAt)}}},
	}
}
