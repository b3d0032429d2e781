package appraiser

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// reportLimit is the maximum number of reports in a heartbeat.
	reportLimit = 24
	// reportInterval is the time between two reports to the same VM.
	reportInterval = 2 * time.Second
	// reportRetention is how long the appraiser remembers that it has reported to a VM.
	reportRetention = time.Minute
	// reportAge is the age of its latest observation above which a key is not reported.
	reportAge = 30 * time.Second
	// shareTTL is the time for which the report of another VM is used.
	shareTTL = 30 * time.Second
	// shareLimit is the maximum number of reports from other VMs that are kept for a key.
	shareLimit = 6
)

// share is the latest report of another VM.
type share struct {
	from       dragonflypass.VMID
	receivedAt time.Time
	estimates  [quantityCount]estimate
}

// Reports returns what this VM has learned from its own requests: the keys with the most evidence. It returns nil if the other
// VM has received these reports.
func (a *Appraiser) Reports(to dragonflypass.VMID) []dragonflypass.CostReport {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.reportedAt.IsZero() || now.Sub(a.reportedAt) >= reportInterval {
		a.reports, a.reportedAt = a.newReports(now), now
		maps.DeleteFunc(a.reportedTo, func(_ dragonflypass.VMID, at time.Time) bool { return now.Sub(at) > reportRetention })
	}
	if a.reportedTo[to].Equal(a.reportedAt) {
		return nil
	}
	a.reportedTo[to] = a.reportedAt
	return a.reports
}

// newReports returns the reports as of now. The mutex must be held.
func (a *Appraiser) newReports(now time.Time) []dragonflypass.CostReport {
	reports := make([]dragonflypass.CostReport, 0, reportLimit)
	for _, e := range a.entries {
		duration, output := &e.own[processingTime], &e.own[outputLength]
		timeCount, outputCount := duration.evidence(now), output.evidence(now)
		if max(timeCount, outputCount) < minEvidence || now.Sub(later(duration.at, output.at)) > reportAge {
			continue
		}
		reports = append(reports, dragonflypass.CostReport{
			Key: e.key, Time: toDuration(duration.mean), TimeSpread: toDuration(duration.spread), TimeCount: timeCount,
			Output: output.mean, OutputSpread: output.spread, OutputCount: outputCount,
		})
	}
	slices.SortFunc(reports, func(x, y dragonflypass.CostReport) int {
		return cmp.Or(cmp.Compare(max(y.TimeCount, y.OutputCount), max(x.TimeCount, x.OutputCount)), cmp.Compare(x.Key.Level, y.Key.Level))
	})
	return slices.Clone(reports[:min(len(reports), reportLimit)])
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Merge takes in the reports of another VM, which replace its earlier ones.
func (a *Appraiser) Merge(from dragonflypass.VMID, reports []dragonflypass.CostReport) {
	if len(reports) == 0 {
		return
	}
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.removeExpired(now)
	for _, report := range reports[:min(len(reports), reportLimit)] {
		if !plausible(report) {
			continue
		}
		e, ok := a.entries[report.Key]
		if !ok && len(a.entries) >= keyLimit {
			// The keys of this VM's own requests go first.
			continue
		}
		if !ok {
			e = a.entry(report.Key)
		}
		a.touch(e, now)
		e.merge(share{from: from, receivedAt: now, estimates: [quantityCount]estimate{
			processingTime: {mean: report.Time.Seconds(), spread: report.TimeSpread.Seconds(), count: min(report.TimeCount, maxCount), at: now},
			outputLength:   {mean: report.Output, spread: report.OutputSpread, count: min(report.OutputCount, maxCount), at: now},
		}})
	}
}

// plausible reports whether the report can be used: a value that is not a number would spoil the estimates for good.
func plausible(r dragonflypass.CostReport) bool {
	for _, value := range []float64{r.TimeCount, r.Output, r.OutputSpread, r.OutputCount} {
		if ok := value >= 0 && value <= math.MaxInt32; !ok {
			return false
		}
	}
	return r.Time >= 0 && r.TimeSpread >= 0 && r.Key.Level < dragonflypass.CostLevelCount && r.Key == r.Key.At(r.Key.Level)
}

// merge keeps the report of another VM instead of its earlier one, or of the oldest one if there are too many.
func (e *entry) merge(report share) {
	replaced := -1
	for i := range e.shares {
		if e.shares[i].from == report.from {
			replaced = i
			break
		}
		if len(e.shares) == shareLimit && (replaced < 0 || e.shares[i].receivedAt.Before(e.shares[replaced].receivedAt)) {
			replaced = i
		}
	}
	if replaced < 0 {
		e.shares = append(e.shares, report)
		return
	}
	e.shares[replaced] = report
}
