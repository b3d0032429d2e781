package modeler

import (
	"fmt"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

func (m *Model) kill(e *engine, down time.Duration) {
	if e.down {
		return
	}
	e.die()
	m.replace(e)
	m.report()
	m.Clock.After(down, e.revive)
}

// Deaths has the servers die one after the other, each staying down for a while.
func Deaths(every, down, until time.Duration) func(*Model) {
	return func(m *Model) {
		for i := 0; time.Duration(i)*every < until; i++ {
			e := m.engines[m.serverID(i%m.Site.Servers)]
			m.Clock.After(time.Duration(i)*every, func() { m.kill(e, down) })
		}
	}
}

// LoseZone takes the servers and nodes of a zone away.
func LoseZone(zone dragonflypass.AvailabilityZone) func(*Model) {
	return func(m *Model) {
		for _, n := range m.nodes {
			n.down = n.down || n.vm.Zone == zone
		}
		for i := range m.Site.Servers {
			if e := m.engines[m.serverID(i)]; e.declared.Zone == zone {
				e.die()
			}
		}
		m.assign()
		m.report()
		m.exchange()
	}
}

// Windows puts windows on the servers with the indexes in force; each starts after the lead.
func Windows(lead, length time.Duration, servers ...int) func(*Model) {
	return func(m *Model) {
		var windows []dragonflypass.MaintenanceWindow
		for _, i := range servers {
			id := fmt.Sprintf("server-%02d", i)
			start := m.Clock.Now().Add(lead)
			windows = append(windows, dragonflypass.MaintenanceWindow{Name: id, Start: start, End: start.Add(length)})
			e := m.engines[dragonflypass.ServerID(id)]
			m.Clock.After(lead, func() { e.die() })
			m.Clock.After(lead+length, e.revive)
		}
		m.configure(windows)
		m.assign()
	}
}
