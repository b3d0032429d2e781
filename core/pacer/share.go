package pacer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// recentHalfLife is the time after which an observation counts half in the reports to other VMs, and minReported the number
	// of observations from which a server is reported.
	recentHalfLife = 10 * time.Second
	minReported    = 0.5
	// maxObserved bounds a reported observation, in powers of two.
	maxObserved = 3
	// reportLimit is the maximum number of servers in a heartbeat, shareLimit that of the VMs whose reports are kept for a
	// server, and shareTTL the time for which a report is used.
	reportLimit = 24
	shareLimit  = 64
	shareTTL    = 6 * time.Second
	// sharedInterval is the time for which the sum of the reports is used: a fleet may have dozens of reports for each server.
	sharedInterval = 200 * time.Millisecond
	// maxShareCount bounds the number of observations that one report counts for.
	maxShareCount = 10
	// The value of this VM counts for as many observations as the deviation of single ones, in powers of two, requires: with
	// estimates that were off by 100%, all VMs otherwise avoided the same servers at the same time.
	initialDeviation = 0.5
	usualDeviation   = 0.12
	deviationWeight  = 0.1
	minOwnCount      = 4
	maxOwnCount      = 64
)

// recentPace is the decaying sum of the latest observations of a server, in powers of two.
type recentPace struct {
	sum, count float64
	at         time.Time
}

func (r *recentPace) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(r.at).Seconds()) / recentHalfLife.Seconds())
	r.sum, r.count, r.at = factor*r.sum, factor*r.count, now
}

func (r *recentPace) add(value float64, now time.Time) {
	r.decay(now)
	r.sum += max(-maxObserved, min(maxObserved, value))
	r.count++
}

// share is the latest report of another VM.
type share struct {
	from       dragonflypass.VMID
	receivedAt time.Time
	mean       float64
	count      float64
}

// ownCount returns the number of observations that the value of this VM counts for.
func (r *reference) ownCount() float64 {
	ratio := r.deviation / usualDeviation
	return max(minOwnCount, min(maxOwnCount, ratio*ratio))
}

// combined returns the value with what other VMs have reported, given the reference of its service.
func (s *pace) combined(r *reference, now time.Time) float64 {
	ownCount := r.ownCount()
	sum, count := ownCount*s.aged(now), ownCount
	if len(s.shares) > 0 {
		if now.Sub(s.shared.at) > sharedInterval {
			s.sumShares(now)
		}
		sum += s.shared.sum
		count += s.shared.count
	}
	return sum / count
}

// sumShares sums up the shares that are recent enough.
func (s *pace) sumShares(now time.Time) {
	s.shared = recentPace{at: now}
	for i := range s.shares {
		if r := &s.shares[i]; now.Sub(r.receivedAt) <= shareTTL {
			s.shared.sum += r.count * r.mean
			s.shared.count += r.count
		}
	}
}

// Reports returns what this VM has observed of the servers of shared services, those that differ the most first.
func (p *Pacer) Reports() []dragonflypass.PaceReport {
	now := p.Timer.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var reports []dragonflypass.PaceReport
	for id, s := range p.servers {
		if s.recent.at.IsZero() || !p.Shared(s.service) {
			continue
		}
		if s.recent.decay(now); s.recent.count < minReported {
			continue
		}
		reports = append(reports, dragonflypass.PaceReport{
			Server: id, Service: s.service, Zone: s.zone, StartedAt: s.startedAt, Mean: s.recent.sum / s.recent.count, Count: s.recent.count,
		})
	}
	slices.SortFunc(reports, func(x, y dragonflypass.PaceReport) int {
		return cmp.Or(cmp.Compare(math.Abs(y.Mean*y.Count), math.Abs(x.Mean*x.Count)), cmp.Compare(x.Server, y.Server))
	})
	return reports[:min(len(reports), reportLimit)]
}

// Merge takes in the reports of another VM, which replace its earlier ones.
func (p *Pacer) Merge(from dragonflypass.VMID, reports []dragonflypass.PaceReport) {
	now := p.Timer.Now()
	var lines []*ServerPace
	p.mutex.Lock()
	for _, report := range reports[:min(len(reports), reportLimit)] {
		// The conditions state what is valid, because any comparison with NaN is false.
		if valid := math.Abs(report.Mean) <= maxObserved && report.Count > 0; !valid {
			continue
		}
		s, ok := p.servers[report.Server]
		if ok && s.startedAt > report.StartedAt {
			continue
		}
		if !ok || s.startedAt < report.StartedAt {
			s = &pace{service: report.Service, zone: report.Zone, startedAt: report.StartedAt, updatedAt: now, slow: ok && s.slow}
			p.servers[report.Server] = s
		}
		s.merge(share{from: from, receivedAt: now, mean: report.Mean, count: min(report.Count, maxShareCount)}, now)
		p.updateReference(s.service, now)
		if line := p.checkSlow(report.Server, s, now); line != nil {
			lines = append(lines, line)
		}
	}
	p.mutex.Unlock()
	for _, line := range lines {
		p.log(line)
	}
}

// merge keeps the report instead of the earlier one of the VM, and drops those that are too old.
func (s *pace) merge(report share, now time.Time) {
	s.shares = slices.DeleteFunc(s.shares, func(other share) bool {
		return other.from == report.from || now.Sub(other.receivedAt) > shareTTL
	})
	if len(s.shares) < shareLimit {
		s.shares = append(s.shares, report)
	}
	s.sumShares(now)
}
