package composer

import (
	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/enroller"
	"github.com/dragonflypass/dragonflypass/core/follower"
)

// composeEras lets all parts that depend on the content of the store learn of its restores from whichever topic shows them first.
func (n *Relay) composeEras() {
	e := enroller.New()
	e.Self, e.Timer, e.Store, e.Logger = n.Options.Self, n.Ports.Timer, n.Ports.Store, n.Ports.Logger
	n.Enroller = e
	// A VM without seeds hears first from the others, which send it a heartbeat at each interval.
	n.Routing.PeerAnswerTime = n.Options.HeartbeatInterval * 3 / 2
	for _, f := range []*follower.Follower{n.Routing, n.Registry} {
		f.EraChanged = n.noteEra
	}
}

func (n *Relay) noteEra(era dragonflypass.Era) {
	n.Routing.NoteEra(era)
	n.Registry.NoteEra(era)
	n.Enroller.NoteEra(era)
}
