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
	// warmUp is the time at the start of a run whose requests do not count in the quantiles.
	warmUp = 15 * time.Second
	// runTime is the time during which requests arrive, drainTime the time after it for the remaining requests to end.
	runTime   = 110 * time.Second
	drainTime = 50 * time.Second
	// faultStart and faultEnd are the start and end of the floods and faults of a scenario.
	faultStart = 30 * time.Second
	faultEnd   = 100 * time.Second
	// steadyLoadFactor is the steady load as a share of the capacity.
	steadyLoadFactor = 0.7
	// floodLoadFactor is the load of a flood as a multiple of the capacity.
	floodLoadFactor = 3.0
	// longShare is the share of requests with more than 100,000 prompt tokens.
	longShare = 0.02
)

// Copenhagen returns a site with a high minimum share for urgent requests.
func Copenhagen() modeler.Site {
	return modeler.Site{
		Name: "copenhagen", Nodes: 6, Servers: 14, PrefillRate: 24_000, DecodeRate: 45, KVCapacity: 420_000, Slots: 48,
		Ranks: [dragonflypass.RankCount]dragonflypass.RankPolicy{
			{FirstTokenTarget: 450 * time.Millisecond, Timeout: 30 * time.Second, MinShare: 0.6},
			{FirstTokenTarget: 2 * time.Second, Timeout: 3 * time.Minute, MinShare: 0.2},
			{FirstTokenTarget: time.Minute, Timeout: 12 * time.Hour, MinShare: 0.05},
		},
	}
}

// BinhMinh returns a site whose minimum shares are closer to each other and take up almost the whole service.
func BinhMinh() modeler.Site {
	return modeler.Site{
		Name: "binhminh", Nodes: 6, Servers: 18, PrefillRate: 24_000, DecodeRate: 45, KVCapacity: 420_000, Slots: 48,
		Ranks: [dragonflypass.RankCount]dragonflypass.RankPolicy{
			{FirstTokenTarget: 450 * time.Millisecond, Timeout: 45 * time.Second, MinShare: 0.4},
			{FirstTokenTarget: 3 * time.Second, Timeout: 5 * time.Minute, MinShare: 0.3},
			{FirstTokenTarget: 5 * time.Minute, Timeout: 14 * time.Hour, MinShare: 0.25},
		},
	}
}

// Policies returns the project's own policy, followed by the baselines. The seed is for the random placement.
func Policies(seed uint64) []modeler.Policy {
	fifoQueue := func(func() [dragonflypass.RankCount]dragonflypass.RankPolicy) dragonflypass.Queue {
		return sequencer.New()
	}
	rankQueue := func(policies func() [dragonflypass.RankCount]dragonflypass.RankPolicy) dragonflypass.Queue {
		return ranker.New(policies)
	}
	roundRobin := func() dragonflypass.Placement { return &placer.RoundRobin{} }
	fewestInFlight := func() dragonflypass.Placement { return placer.FewestInFlight{} }
	uniform := func() dragonflypass.Placement { return &placer.Random{Random: rand.New(rand.NewPCG(seed, 7))} }
	shortestWait := func() dragonflypass.Placement { return placer.ShortestWait{} }
	return []modeler.Policy{
		{Name: "dragonflypass", NewQueue: rankQueue, NewServerPlacement: shortestWait},
		{Name: "first come, least wait", NewQueue: fifoQueue, NewServerPlacement: shortestWait},
		{Name: "round robin", NewQueue: fifoQueue, NewServerPlacement: roundRobin, NewOwnerPlacement: roundRobin},
		{Name: "fewest outstanding", NewQueue: fifoQueue, NewServerPlacement: fewestInFlight, NewOwnerPlacement: fewestInFlight},
		{Name: "random", NewQueue: fifoQueue, NewServerPlacement: uniform, NewOwnerPlacement: uniform},
	}
}

// Scenario is a load on a site, with events.
type Scenario struct {
	Name   string
	Loads  func(site modeler.Site) []tracer.Load
	Events []modeler.Event
	// ExtraRequests are added to the requests of the loads. It may be nil.
	ExtraRequests func(site modeler.Site) []tracer.Request
}

const largeAccount = dragonflypass.AccountID("big")

// accounts returns the ten client accounts of a site.
func accounts() []dragonflypass.AccountID {
	var ids []dragonflypass.AccountID
	for i := range 10 {
		ids = append(ids, dragonflypass.AccountID(fmt.Sprintf("account-%d", i)))
	}
	return ids
}

// mixedLoads returns loads of all ranks that together take the share loadFactor of the site's capacity. The shares of
// long prompts of normal and bulk requests are multiples of baseLongShare; urgent requests have no long prompts.
func mixedLoads(site modeler.Site, loadFactor, baseLongShare float64) []tracer.Load {
	total := site.Capacity() * loadFactor
	load := func(rank dragonflypass.Rank, share, rankLongShare float64) tracer.Load {
		return tracer.Load{Rank: rank, TokenRate: total * share, Accounts: accounts(), Until: runTime, LongShare: rankLongShare}
	}
	return []tracer.Load{load(dragonflypass.RankUrgent, 0.3, 0), load(dragonflypass.RankNormal, 0.4, baseLongShare*1.5), load(dragonflypass.RankBulk, 0.3, baseLongShare*3)}
}

// withFlood returns a function that returns the steady load and a flood of requests of one rank.
func withFlood(rank dragonflypass.Rank) func(modeler.Site) []tracer.Load {
	return func(site modeler.Site) []tracer.Load {
		return append(mixedLoads(site, steadyLoadFactor, longShare), tracer.Load{
			Rank: rank, TokenRate: site.Capacity() * floodLoadFactor, Accounts: accounts(), From: faultStart, Until: faultEnd, LongShare: 0,
		})
	}
}

func steadyLoad(site modeler.Site) []tracer.Load {
	return mixedLoads(site, steadyLoadFactor, longShare)
}

// Scenarios returns the scenarios in the order of the report.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Loads: steadyLoad},
		{Name: "steady without long prompts", Loads: withoutLongPrompts},
		{Name: "flood of bulk", Loads: withFlood(dragonflypass.RankBulk)},
		{Name: "flood of normal", Loads: withFlood(dragonflypass.RankNormal)},
		{Name: "flood of urgent", Loads: withFlood(dragonflypass.RankUrgent)},
		{Name: "one large account", Loads: func(site modeler.Site) []tracer.Load {
			return append(mixedLoads(site, steadyLoadFactor, longShare), tracer.Load{
				Rank: dragonflypass.RankNormal, TokenRate: site.Capacity() * steadyLoadFactor * 0.4, Accounts: []dragonflypass.AccountID{largeAccount}, From: faultStart, Until: faultEnd,
			})
		}},
		{Name: "burst of long prompts", Loads: steadyLoad, ExtraRequests: longPromptBursts},
		{Name: "zone lost", Loads: steadyLoad, Events: []modeler.Event{{At: faultStart, Run: modeler.FailZone("a")}}},
		{Name: "windows in progress", Loads: steadyLoad, Events: []modeler.Event{
			{At: faultStart, Run: modeler.ScheduleMaintenance(20*time.Second, 40*time.Second, 0, 1)},
		}},
		{Name: "crashing request", Loads: steadyLoad, ExtraRequests: crashingRequests},
	}
}

// withoutLongPrompts returns the steady load without its long prompts. The other prompts arrive at the same rate as before.
func withoutLongPrompts(site modeler.Site) []tracer.Load {
	loads := mixedLoads(site, steadyLoadFactor, longShare)
	for i := range loads {
		loads[i].TokenRate *= tracer.MeanPromptTokens(0) / tracer.MeanPromptTokens(loads[i].LongShare)
		loads[i].LongShare = 0
	}
	return loads
}

// longPromptBursts returns two bursts, 40 seconds apart, of twelve simultaneous prompts of 200,000 tokens each.
func longPromptBursts(modeler.Site) []tracer.Request {
	const prompts, tokens = 12, 200_000
	var extra []tracer.Request
	for _, at := range []time.Duration{faultStart, faultStart + 40*time.Second} {
		for i := range prompts {
			r := tracer.Request{At: at, Account: accounts()[i%10], Rank: dragonflypass.RankNormal, PromptTokens: tokens, OutputTokens: 100}
			copy(r.Body[:], fmt.Sprintf("burst/%s/%d", at, i))
			extra = append(extra, r)
		}
	}
	return extra
}

// crashingRequests returns one request per second from faultStart to faultEnd. Each crashes the server that runs it.
func crashingRequests(modeler.Site) []tracer.Request {
	var extra []tracer.Request
	for at := faultStart; at < faultEnd; at += time.Second {
		r := tracer.Request{At: at, Account: accounts()[0], Rank: dragonflypass.RankNormal, PromptTokens: 2_000, OutputTokens: 100, CrashesServer: true}
		copy(r.Body[:], "crashing")
		extra = append(extra, r)
	}
	return extra
}

// Run runs a scenario on a site under a policy.
func Run(site modeler.Site, policy modeler.Policy, scenario Scenario, seed uint64) modeler.Outcome {
	trace := tracer.Generate(seed, scenario.Loads(site)...)
	if scenario.ExtraRequests != nil {
		trace = append(trace, scenario.ExtraRequests(site)...)
	}
	return modeler.Run(site, policy, trace, runTime+drainTime, scenario.Events...)
}

// ContrastPolicies returns the project's own policy, and this policy with each of two ideas of MAHEVE added: a spare
// server in each zone that preferably replaces a server of its own zone, and zones sorted by equation 1.
func ContrastPolicies(seed uint64) []modeler.Policy {
	unchanged := Policies(seed)[0]
	reserve, rankedZones := unchanged, unchanged
	reserve.Name, reserve.SpareServers = "reserve in each zone", true
	rankedZones.Name, rankedZones.RankZones = "zones ranked", true
	return []modeler.Policy{unchanged, reserve, rankedZones}
}

// crashScenarios returns the scenarios for the contrast policies.
func crashScenarios() []Scenario {
	const interval, downtime = 15 * time.Second, 20 * time.Second
	return []Scenario{
		{Name: "steady", Loads: steadyLoad},
		{Name: "servers die", Loads: steadyLoad, Events: []modeler.Event{{At: faultStart, Run: modeler.ServerCrashes(interval, downtime, faultEnd-faultStart)}}},
	}
}
