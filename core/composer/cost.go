package composer

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/appraiser"
	"github.com/dragonflypass/dragonflypass/core/pacer"
)

// composeCosts builds the components that learn the cost of requests and the speed of servers, and passes them to those that
// place requests.
func (n *Relay) composeCosts() {
	a := appraiser.New()
	a.Timer = n.Ports.Timer
	n.Appraiser, n.Relayer.Appraiser, n.Detector.Costs = a, a, a.Reports

	p := pacer.New()
	p.Timer, p.Logger = n.Ports.Timer, n.Ports.Logger
	// The owner of a model server is the only one that places requests there.
	p.Shared = func(service dragonflypass.ServiceID) bool { return n.costModel(service) == nil }
	n.Pacer, n.Relayer.Pacer, n.Balancer.Pace, n.Detector.Paces = p, p, p.Pace, p.Reports
	n.Allocator.Pace, n.Allocator.RecordPace = p.Pace, p.Record
	n.Relayer.CostModel = n.costModel
}
