package modeler

import (
	"fmt"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

func (m *Model) crashServer(e *engine, downtime time.Duration) {
	if e.down {
		return
	}
	e.stop()
	m.activateSpare(e)
	m.sendReports()
	m.Clock.After(downtime, e.restart)
}

// ServerCrashes returns a function for Event.Run that crashes one server after another at the interval, until a time
// counted from the event. Each server is down for the downtime.
func ServerCrashes(interval, downtime, until time.Duration) func(*Model) {
	return func(m *Model) {
		for i := 0; time.Duration(i)*interval < until; i++ {
			e := m.engines[m.serverID(i%m.Site.Servers)]
			m.Clock.After(time.Duration(i)*interval, func() { m.crashServer(e, downtime) })
		}
	}
}

// FailZone returns a function for Event.Run that stops all servers and nodes of a zone.
func FailZone(zone dragonflypass.AvailabilityZone) func(*Model) {
	return func(m *Model) {
		for _, n := range m.nodes {
			n.down = n.down || n.vm.Zone == zone
		}
		for i := range m.Site.Servers {
			if e := m.engines[m.serverID(i)]; e.server.Zone == zone {
				e.stop()
			}
		}
		m.assignServers()
		m.sendReports()
		m.exchangeHeartbeats()
	}
}

// ScheduleMaintenance returns a function for Event.Run that puts maintenance windows for the servers with the given
// indexes into effect. Each window starts after the delay and stops its server for the length.
func ScheduleMaintenance(delay, length time.Duration, servers ...int) func(*Model) {
	return func(m *Model) {
		var windows []dragonflypass.MaintenanceWindow
		for _, i := range servers {
			id := fmt.Sprintf("server-%02d", i)
			start := m.Clock.Now().Add(delay)
			windows = append(windows, dragonflypass.MaintenanceWindow{Name: id, Start: start, End: start.Add(length)})
			e := m.engines[dragonflypass.ServerID(id)]
			m.Clock.After(delay, func() { e.stop() })
			m.Clock.After(delay+length, e.restart)
		}
		m.configure(windows)
		m.assignServers()
	}
}
