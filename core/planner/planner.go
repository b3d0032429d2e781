package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Fleet holds the VMs and the configuration against which a sheet is checked.
type Fleet struct {
	// VMs are the entry VMs, empty if they are not known.
	VMs []dragonflypass.VM
	// Current is the configuration in effect.
	Current *dragonflypass.Configuration
}

// UnknownNames returns one line for each name in the sheet that the fleet does not have, or has in another zone.
func UnknownNames(sheet *dragonflypass.Sheet, fleet Fleet) []string {
	var lines []string
	for _, w := range sheet.Windows {
		zone, ok := fleet.zone(w.Name)
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("window: %q is neither an entry VM nor a backend server", w.Name))
		case zone != w.Zone:
			lines = append(lines, fmt.Sprintf("window: %q is in zone %q, not %q", w.Name, zone, w.Zone))
		}
	}
	for _, c := range sheet.CapacityOverrides {
		if fleet.Current.Servers[c.Server] == nil {
			lines = append(lines, fmt.Sprintf("capacity: %q is not a backend server", c.Server))
		}
	}
	for _, p := range sheet.WeightOverrides {
		if fleet.Current.Accounts[p.Account] == nil {
			lines = append(lines, fmt.Sprintf("priority: %q is not a client account", p.Account))
		}
	}
	return lines
}

func (f Fleet) zone(name string) (dragonflypass.AvailabilityZone, bool) {
	if server := f.Current.Servers[dragonflypass.ServerID(name)]; server != nil {
		return server.Zone, true
	}
	for _, vm := range f.VMs {
		if string(vm.ID) == name {
			return vm.Zone, true
		}
	}
	return "", false
}

// Warnings returns one line for each period in which the maintenance windows leave a zone
// without an entry VM, or a model without a backend server.
func Warnings(sheet *dragonflypass.Sheet, fleet Fleet) []string {
	windows := slices.Clone(sheet.Windows)
	for _, other := range fleet.Current.Sheets {
		if other.Day != sheet.Day {
			windows = append(windows, other.Windows...)
		}
	}
	groups := make(map[string][]string)
	for _, vm := range fleet.VMs {
		shortage := fmt.Sprintf("zone %s without an entry VM", vm.Zone)
		groups[shortage] = append(groups[shortage], string(vm.ID))
	}
	for id := range fleet.Current.Models {
		shortage := fmt.Sprintf("model %s without a backend server", id)
		for _, server := range fleet.Current.ServersOf(id) {
			groups[shortage] = append(groups[shortage], string(server.ID))
		}
	}
	var lines []string
	for shortage, members := range groups {
		for _, outage := range outages(windows, members) {
			lines = append(lines, fmt.Sprintf("%s–%s leaves %s", outage.start.Format(time.DateTime), outage.end.Format(time.DateTime), shortage))
		}
	}
	slices.Sort(lines)
	return lines
}

type period struct {
	start time.Time
	end   time.Time
}

// outages returns the periods in which all members are in a maintenance window.
func outages(windows []dragonflypass.MaintenanceWindow, members []string) []period {
	if len(members) == 0 {
		return nil
	}
	common := mergedWindows(windows, members[0])
	for _, member := range members[1:] {
		common = intersect(common, mergedWindows(windows, member))
	}
	return common
}

// mergedWindows returns the member's windows, merged where they overlap or touch.
func mergedWindows(windows []dragonflypass.MaintenanceWindow, member string) []period {
	var periods []period
	for _, w := range windows {
		if w.Name == member {
			periods = append(periods, period{start: w.Start, end: w.End})
		}
	}
	slices.SortFunc(periods, func(a, b period) int { return cmp.Or(a.start.Compare(b.start), a.end.Compare(b.end)) })
	var merged []period
	for _, current := range periods {
		if n := len(merged); n > 0 && !current.start.After(merged[n-1].end) {
			if current.end.After(merged[n-1].end) {
				merged[n-1].end = current.end
			}
			continue
		}
		merged = append(merged, current)
	}
	return merged
}

// intersect returns the periods that are in both lists; each list is sorted and without overlaps.
func intersect(a, b []period) []period {
	var common []period
	for len(a) > 0 && len(b) > 0 {
		start, end := a[0].start, a[0].end
		if b[0].start.After(start) {
			start = b[0].start
		}
		if b[0].end.Before(end) {
			end = b[0].end
		}
		if end.After(start) {
			common = append(common, period{start: start, end: end})
		}
		if a[0].end.Before(b[0].end) {
			a = a[1:]
		} else {
			b = b[1:]
		}
	}
	return common
}

// Progress is the stage that a maintenance window has reached.
type Progress string

// The stages of a maintenance window. It is late if requests are still running after its start.
const (
	ProgressPlanned  Progress = "planned"
	ProgressDraining Progress = "draining"
	ProgressDrained  Progress = "drained"
	ProgressLate     Progress = "late"
	ProgressDone     Progress = "done"
)

// Load is the load of the entry VM or backend server that a maintenance window takes down.
type Load struct {
	// Running is the number of requests in progress.
	Running int
	// Leaving is set if no new requests are accepted.
	Leaving bool
}

// drainLead is how long before its start a maintenance window counts as draining or drained even if Leaving is not set.
const drainLead = 10 * time.Second

// Status returns the progress of the maintenance window.
func Status(w dragonflypass.MaintenanceWindow, load Load, now time.Time) Progress {
	drainDue := load.Leaving || w.Start.Sub(now) <= drainLead
	switch {
	case !w.End.After(now):
		return ProgressDone
	case !w.Start.After(now) && load.Running > 0:
		return ProgressLate
	case drainDue && load.Running > 0:
		return ProgressDraining
	case drainDue:
		return ProgressDrained
	}
	return ProgressPlanned
}
