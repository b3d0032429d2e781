package modeler

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// heterogeneity is MAHEVE's degree of heterogeneity hd: the servers of the sites modelled are alike.
const heterogeneity = 0.0

// zoneCount is the number of zones over which servers are spread.
const zoneCount = 3

func (m *Model) serverID(i int) dragonflypass.ServerID {
	return dragonflypass.ServerID(fmt.Sprintf("server-%02d", i))
}

// hold puts the last server of each zone in reserve where the policy wants it.
func (m *Model) hold() {
	for i := m.Site.Servers - zoneCount; m.policy.Reserve && i < m.Site.Servers; i++ {
		m.engines[m.serverID(i)].reserved = true
	}
}

// replace brings a reserved server into use for the dead one, of its own zone if there is one, else of
// another; the dead one is in reserve when it comes back.
func (m *Model) replace(dead *engine) {
	var found *engine
	for i := range m.Site.Servers {
		e := m.engines[m.serverID(i)]
		if e.reserved && !e.down && (found == nil || (e.declared.Zone == dead.declared.Zone && found.declared.Zone != dead.declared.Zone)) {
			found = e
		}
	}
	if found != nil {
		found.reserved, dead.reserved = false, true
	}
}

// mark is a zone's M of MAHEVE's equation 1: normalized average free power to the power of hd
// plus normalized number of free servers to the power of 1-hd.
func mark(power, free float64) float64 {
	return math.Pow(power, heterogeneity) + math.Pow(free, 1-heterogeneity)
}

// sortByZone orders owners by their zone's mark, those of one zone as they are.
func (m *Model) sortByZone(owners []*node) {
	free := make(map[dragonflypass.AvailabilityZone]float64)
	for _, n := range m.nodes {
		for _, load := range n.Scheduler.Loads() {
			if load.Wait[dragonflypass.ClassShort] == 0 {
				free[n.vm.Zone]++
			}
		}
	}
	most := 1.0
	for _, count := range free {
		most = max(most, count)
	}
	of := func(n *node) float64 { return mark(1, free[n.vm.Zone]/most) }
	slices.SortStableFunc(owners, func(a, b *node) int { return cmp.Compare(of(b), of(a)) })
}
