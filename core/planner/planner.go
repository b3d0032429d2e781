package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Fleet is what the windows are held against.
type Fleet struct {
	// VMs are the known entry VMs, none when they are not known.
	VMs     []dragonflypass.VM
	Current *dragonflypass.Configuration
}

// UnknownNames returns a line for each name in the sheet that the fleet does not have.
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

// Warnings returns a line for each time in which the windows leave a zone
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
		name := fmt.Sprintf("zone %s without an entry VM", vm.Zone)
		groups[name] = append(groups[name], string(vm.ID))
	}
	for id := range fleet.Current.Models {
		name := fmt.Sprintf("model %s without a backend server", id)
		for _, server := range fleet.Current.ServersOf(id) {
			groups[name] = append(groups[name], string(server.ID))
		}
	}
	var lines []string
	for name, members := range groups {
		for _, gap := range gaps(windows, members) {
			lines = append(lines, fmt.Sprintf("%s–%s leaves %s", gap.start.Format(time.DateTime), gap.end.Format(time.DateTime), name))
		}
	}
	slices.Sort(lines)
	return lines
}

type span struct {
	start time.Time
	end   time.Time
}

// gaps returns the times in which all members are in a window.
func gaps(windows []dragonflypass.MaintenanceWindow, members []string) []span {
	if len(members) == 0 {
		return nil
	}
	common := spans(windows, members[0])
	for _, member := range members[1:] {
		common = intersect(common, spans(windows, member))
	}
	return common
}

// spans returns the member's windows, joined where they overlap or touch.
func spans(windows []dragonflypass.MaintenanceWindow, member string) []span {
	var all []span
	for _, w := range windows {
		if w.Name == member {
			all = append(all, span{start: w.Start, end: w.End})
		}
	}
	slices.SortFunc(all, func(a, b span) int { return cmp.Or(a.start.Compare(b.start), a.end.Compare(b.end)) })
	var joined []span
	for _, s := range all {
		if n := len(joined); n > 0 && !s.start.After(joined[n-1].end) {
			if s.end.After(joined[n-1].end) {
				joined[n-1].end = s.end
			}
			continue
		}
		joined = append(joined, s)
	}
	return joined
}

func intersect(a, b []span) []span {
	var common []span
	for len(a) > 0 && len(b) > 0 {
		start, end := a[0].start, a[0].end
		if b[0].start.After(start) {
			start = b[0].start
		}
		if b[0].end.Before(end) {
			end = b[0].end
		}
		if end.After(start) {
			common = append(common, span{start: start, end: end})
		}
		if a[0].end.Before(b[0].end) {
			a = a[1:]
		} else {
			b = b[1:]
		}
	}
	return common
}

// Progress is where a window stands.
type Progress string

// The progress of a window.
const (
	ProgressPlanned  Progress = "planned"
	ProgressDraining Progress = "draining"
	ProgressDrained  Progress = "drained"
	ProgressLate     Progress = "late"
	ProgressDone     Progress = "done"
)

// Load is what runs at the subject of a window.
type Load struct {
	// Running is the number of requests in progress.
	Running int
	// Leaving is set when the subject takes no new work.
	Leaving bool
}

// drainLead is the time before a window from which a window without leaving subject counts as draining.
const drainLead = 10 * time.Second

// Status returns where the window stands.
func Status(w dragonflypass.MaintenanceWindow, load Load, now time.Time) Progress {
	near := load.Leaving || w.Start.Sub(now) <= drainLead
	switch {
	case !w.End.After(now):
		return ProgressDone
	case !w.Start.After(now) && load.Running > 0:
		return ProgressLate
	case near && load.Running > 0:
		return ProgressDraining
	case near:
		return ProgressDrained
	}
	return ProgressPlanned
}
