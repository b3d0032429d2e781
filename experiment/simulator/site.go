package simulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Kind is a kind of request of a site.
type Kind struct {
	Name string
	// RequestsPerSecond is the mean rate of arrivals, before Site.Scale and bursts.
	RequestsPerSecond float64
	// PromptTokens and EventCount are the distributions of the prompt length and the number of events of the response.
	PromptTokens Size
	EventCount   Size
	// FirstEventTarget and MaxEventGap are the latency objectives for the first event and between events.
	FirstEventTarget time.Duration
	MaxEventGap      time.Duration
	// Deadline is the time for which the caller waits. A response that ends later is worth nothing.
	Deadline time.Duration
	Priority int
	// Worth is the value of a request that met its latency objectives, LateWorth the value if it missed one.
	Worth     float64
	LateWorth float64
}

// Size is a log-normal distribution with an upper bound. Sigma is the standard deviation of the logarithm.
type Size struct {
	Mean, Sigma, Max float64
}

func (s Size) draw(random *rand.Rand) float64 {
	mu := math.Log(s.Mean) - s.Sigma*s.Sigma/2
	return max(1, min(s.Max, math.Exp(mu+s.Sigma*random.NormFloat64())))
}

// Burst multiplies the rate of a kind, given by its index, between two times after the start.
type Burst struct {
	Kind     int
	Factor   float64
	From, To time.Duration
}

// Site describes a simulated deployment and its requests.
type Site struct {
	Name      string
	Servers   int
	CostModel dragonflypass.EngineCostModel
	Kinds     []Kind
	Bursts    []Burst
	Length    time.Duration
	// Scale multiplies the rates of all kinds.
	Scale float64
}

// costModel returns the cost model of the engines, for both sites.
func costModel(slots, kvCapacity, stepsPerPass int) dragonflypass.EngineCostModel {
	return dragonflypass.EngineCostModel{
		Slots: slots, KVCapacity: kvCapacity, StepsPerPass: stepsPerPass, PrefillChunk: 2048, StepTime: 1310 * time.Microsecond,
		StepTimePerRequest: 917 * time.Nanosecond, StepTimePerContext: 2130 * time.Nanosecond,
		PrefillRate: 154_000, PairTime: 162 * time.Microsecond, MeanOutputTokens: 1266,
	}
}

// Copenhagen returns the site of the pairing service.
func Copenhagen() Site {
	return Site{
		Name: "copenhagen", Servers: 14, CostModel: costModel(16, 405_000, 34), Length: 34 * time.Second, Scale: 1,
		Kinds: []Kind{
			{Name: "icebreak", RequestsPerSecond: 27.9, PromptTokens: Size{4960, 0.9, 23_800}, EventCount: Size{38.5, 0.7, 96}, FirstEventTarget: 250 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.8, LateWorth: 0.18},
			{Name: "recap", RequestsPerSecond: 1.57, PromptTokens: Size{45_000, 0.5, 110_000}, EventCount: Size{23.1, 0.6, 58}, FirstEventTarget: 1500 * time.Millisecond, MaxEventGap: 600 * time.Millisecond, Deadline: 10 * time.Second, Priority: 1, Worth: 2.8, LateWorth: 0.69},
			{Name: "portfolio", RequestsPerSecond: 0.725, PromptTokens: Size{182_000, 0.55, 900_000}, EventCount: Size{19.2, 0.5, 48}, FirstEventTarget: 8 * time.Second, MaxEventGap: time.Second, Deadline: 15 * time.Second, Priority: 2, Worth: 8.6, LateWorth: 3.3},
		},
	}
}

// BinhMinh returns the site of the order desk.
func BinhMinh() Site {
	s := Copenhagen()
	s.Name, s.Servers = "binhminh", 18
	for i, rate := range []float64{36, 2.01, 0.935} {
		s.Kinds[i].RequestsPerSecond = rate
	}
	s.Kinds[2].FirstEventTarget = 6 * time.Second
	return s
}

// MixShiftBursts returns the bursts of a day on which the mix of short and long prompts is reversed twice.
func MixShiftBursts() []Burst {
	burstsBetween := func(from, to float64, factors ...float64) (bursts []Burst) {
		for kind, factor := range factors {
			bursts = append(bursts, Burst{Kind: kind, Factor: factor, From: seconds(from), To: seconds(to)})
		}
		return bursts
	}
	bursts := burstsBetween(1.5, 11, 0.31, 1.3, 2.6)
	bursts = append(bursts, burstsBetween(13, 22.5, 2.4, 0.5, 0.05)...)
	return append(bursts, burstsBetween(23, 32.5, 0.35, 1.3, 2.8)...)
}

// PeakBursts returns the bursts of a day with one peak of the longest prompts and one of the shortest.
func PeakBursts() []Burst {
	return []Burst{
		{Kind: 2, Factor: 2.4, From: seconds(3.5), To: seconds(9.8)},
		{Kind: 0, Factor: 1.7, From: seconds(13), To: seconds(17)},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Days returns the days on which policies are compared: one without bursts, two with mix shifts and two with peaks.
func Days() []Site {
	days := []Site{Copenhagen(), Copenhagen(), Copenhagen(), BinhMinh(), BinhMinh()}
	for i, variant := range []struct {
		name   string
		bursts []Burst
		scale  float64
	}{{"calm", nil, 1}, {"turning", MixShiftBursts(), 0.8}, {"peaks", PeakBursts(), 1.1}, {"turning", MixShiftBursts(), 0.8}, {"peaks", PeakBursts(), 1.1}} {
		days[i].Name += " " + variant.name
		days[i].Bursts, days[i].Scale = variant.bursts, variant.scale
	}
	return days
}
