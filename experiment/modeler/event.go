package modeler

import (
	"fmt"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

func (m *Model) kill(e *engine) {
	if e.down {
		return
	}
	e.die()
	m.report()
	m.Clock.After(downTime, e.revive)
}

// LoseZone takes the servers and nodes of a zone away.
func LoseZone(zone dragonflypass.AvailabilityZone) func(*Model) {
	return func(m *Model) {
		for _, n := range m.nodes {
			n.down = n.down || n.vm.Zone == zone
		}
		for i := range m.Site.Servers {
			if e := m.engines[dragonflypass.ServerID(fmt.Sprintf("server-%02d", i))]; e.declared.Zone == zone {
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
		var windows []dragonflypass.Window
		for _, i := range servers {
			id := fmt.Sprintf("server-%02d", i)
			start := m.Clock.Now().Add(lead)
			windows = append(windows, dragonflypass.Window{Name: id, Start: start, End: start.Add(length)})
			e := m.engines[dragonflypass.ServerID(id)]
			m.Clock.After(lead, func() { e.die() })
			m.Clock.After(lead+length, e.revive)
		}
		m.configure(windows)
		m.assign()
	}
}
