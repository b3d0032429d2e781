package simulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Kind is a kind of prompt of a site.
type Kind struct {
	Name string
	// PerSecond is the mean rate of arrivals.
	PerSecond float64
	// Prompt and Events are the sizes in tokens and events.
	Prompt Size
	Events Size
	// Goal and Pause are the objectives to the first event and between events.
	Goal  time.Duration
	Pause time.Duration
	// Deadline is the time for which the caller waits.
	Deadline time.Duration
	Priority int
	// Worth and Late are what a request on time and a late one are worth.
	Worth float64
	Late  float64
}

// Size is a lognormal distribution with a bound.
type Size struct {
	Mean, Spread, Max float64
}

func (s Size) draw(random *rand.Rand) float64 {
	mu := math.Log(s.Mean) - s.Spread*s.Spread/2
	return max(1, min(s.Max, math.Exp(mu+s.Spread*random.NormFloat64())))
}

// Burst multiplies the rate of a kind for a time.
type Burst struct {
	Kind     int
	Factor   float64
	From, To time.Duration
}

// Site is a deployment whose prompts are played.
type Site struct {
	Name    string
	Servers int
	Law     dragonflypass.EngineCostModel
	Kinds   []Kind
	Bursts  []Burst
	Length  time.Duration
	// Scale multiplies all rates.
	Scale float64
}

// law is the engines' law of both sites.
func law(slots, memory, stride int) dragonflypass.EngineCostModel {
	return dragonflypass.EngineCostModel{
		Slots: slots, KVCapacity: memory, StepsPerPass: stride, PrefillChunk: 2048, StepTime: 1310 * time.Microsecond,
		StepTimePerRequest: 917 * time.Nanosecond, StepTimePerContext: 2130 * time.Nanosecond,
		PrefillRate: 154_000, PairTime: 162 * time.Microsecond, MeanOutputTokens: 1266,
	}
}

// Copenhagen returns the site of the pairing service.
func Copenhagen() Site {
	return Site{
		Name: "copenhagen", Servers: 14, Law: law(16, 405_000, 34), Length: 34 * time.Second, Scale: 1,
		Kinds: []Kind{
			{Name: "icebreak", PerSecond: 27.9, Prompt: Size{4960, 0.9, 23_800}, Events: Size{38.5, 0.7, 96}, Goal: 250 * time.Millisecond, Pause: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.8, Late: 0.18},
			{Name: "recap", PerSecond: 1.57, Prompt: Size{45_000, 0.5, 110_000}, Events: Size{23.1, 0.6, 58}, Goal: 1500 * time.Millisecond, Pause: 600 * time.Millisecond, Deadline: 10 * time.Second, Priority: 1, Worth: 2.8, Late: 0.69},
			{Name: "portfolio", PerSecond: 0.725, Prompt: Size{182_000, 0.55, 900_000}, Events: Size{19.2, 0.5, 48}, Goal: 8 * time.Second, Pause: time.Second, Deadline: 15 * time.Second, Priority: 2, Worth: 8.6, Late: 3.3},
		},
	}
}

// BinhMinh returns the site of the order desk.
func BinhMinh() Site {
	s := Copenhagen()
	s.Name, s.Servers = "binhminh", 18
	for i, rate := range []float64{36, 2.01, 0.935} {
		s.Kinds[i].PerSecond = rate
	}
	s.Kinds[2].Goal = 6 * time.Second
	return s
}

// Turning returns the bursts of a day whose mix turns over twice.
func Turning() []Burst {
	day := func(from, to float64, factors ...float64) (bursts []Burst) {
		for kind, factor := range factors {
			bursts = append(bursts, Burst{Kind: kind, Factor: factor, From: seconds(from), To: seconds(to)})
		}
		return bursts
	}
	bursts := day(1.5, 11, 0.31, 1.3, 2.6)
	bursts = append(bursts, day(13, 22.5, 2.4, 0.5, 0.05)...)
	return append(bursts, day(23, 32.5, 0.35, 1.3, 2.8)...)
}

// Peaks returns the bursts of a day with a peak of the longest and one of the shortest prompts.
func Peaks() []Burst {
	return []Burst{
		{Kind: 2, Factor: 2.4, From: seconds(3.5), To: seconds(9.8)},
		{Kind: 0, Factor: 1.7, From: seconds(13), To: seconds(17)},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Days returns the days on which policies are compared: a calm one, days whose mix turns over and days with peaks.
func Days() []Site {
	days := []Site{Copenhagen(), Copenhagen(), Copenhagen(), BinhMinh(), BinhMinh()}
	for i, change := range []struct {
		name   string
		bursts []Burst
		scale  float64
	}{{"calm", nil, 1}, {"turning", Turning(), 0.8}, {"peaks", Peaks(), 1.1}, {"turning", Turning(), 0.8}, {"peaks", Peaks(), 1.1}} {
		days[i].Name += " " + change.name
		days[i].Bursts, days[i].Scale = change.bursts, change.scale
	}
	return days
}
