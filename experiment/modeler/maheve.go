package modeler

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/dragonflypass/dragonflypass"
)

// heterogeneity is hd, the degree of heterogeneity in MAHEVE. It is zero since all servers of a modelled site are alike.
const heterogeneity = 0.0

// zoneCount is the number of availability zones that the servers are spread over.
const zoneCount = 3

func (m *Model) serverID(i int) dragonflypass.ServerID {
	return dragonflypass.ServerID(fmt.Sprintf("server-%02d", i))
}

// markSpares makes the last server of each zone a spare if the policy asks for it.
func (m *Model) markSpares() {
	for i := m.Site.Servers - zoneCount; m.policy.SpareServers && i < m.Site.Servers; i++ {
		m.engines[m.serverID(i)].spare = true
	}
}

// activateSpare puts a spare into service in place of the failed server, preferably one of the same zone.
// The failed server becomes a spare itself.
func (m *Model) activateSpare(failed *engine) {
	var replacement *engine
	for i := range m.Site.Servers {
		e := m.engines[m.serverID(i)]
		if e.spare && !e.down && (replacement == nil || (e.server.Zone == failed.server.Zone && replacement.server.Zone != failed.server.Zone)) {
			replacement = e
		}
	}
	if replacement != nil {
		replacement.spare, failed.spare = false, true
	}
}

// zoneScore is M of equation 1 in MAHEVE: freePower^hd + freeServers^(1-hd), where freePower is the normalized average
// free computing power and freeServers the normalized number of free servers.
func zoneScore(freePower, freeServers float64) float64 {
	return math.Pow(freePower, heterogeneity) + math.Pow(freeServers, 1-heterogeneity)
}

// sortByZone sorts owners by the score of their zone, highest first, and keeps the order within a zone.
func (m *Model) sortByZone(owners []*node) {
	free := make(map[dragonflypass.AvailabilityZone]float64)
	for _, n := range m.nodes {
		for _, load := range n.Scheduler.Loads() {
			if load.Wait[dragonflypass.ClassShort] == 0 {
				free[n.vm.Zone]++
			}
		}
	}
	maxFree := 1.0
	for _, count := range free {
		maxFree = max(maxFree, count)
	}
	score := func(n *node) float64 { return zoneScore(1, free[n.vm.Zone]/maxFree) }
	slices.SortStableFunc(owners, func(a, b *node) int { return cmp.Compare(score(b), score(a)) })
}
