package composer

import (
	"context"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// crashReportTimeout limits the time for reporting a crash to one VM.
const crashReportTimeout = time.Second

// BroadcastCrash reports a server crash to the other VMs without waiting for them. In a large fleet these are the VMs that
// this one knows to be live, the hubs among them, and one hub of each zone forwards the report there.
func (n *Relay) BroadcastCrash(crash dragonflypass.ServerCrash) {
	n.sendCrash(crash, func(dragonflypass.Member) bool { return true })
}

// forwardCrash forwards a crash report to the VMs of the own zone if this VM is the first hub there.
func (n *Relay) forwardCrash(crash dragonflypass.ServerCrash) {
	if !n.largeFleet() || !n.firstHub(crashDuty) {
		return
	}
	n.sendCrash(crash, func(m dragonflypass.Member) bool { return m.VM.Zone == n.Options.Self.Zone })
}

// sendCrash reports the crash to the members that match. It logs the VMs that it cannot reach.
func (n *Relay) sendCrash(crash dragonflypass.ServerCrash, matches func(dragonflypass.Member) bool) {
	for _, member := range n.Detector.Others() {
		// A worker would wait for each VM that is down. Those that return learn of quarantined parts from heartbeats.
		isUp := member.State == dragonflypass.MemberLive || member.State == dragonflypass.MemberLeaving
		if !isUp || !matches(member) {
			continue
		}
		n.Ports.Pool.Submit(dragonflypass.JobPeer, func(ctx context.Context) {
			ctx, cancel := n.Ports.Timer.WithDeadline(ctx, n.Ports.Timer.Now().Add(crashReportTimeout))
			defer cancel()
			if err := n.Ports.Peers.ReportCrash(ctx, member.VM, crash); err != nil {
				n.Ports.Logger.Info("crash report not delivered", "vm_told", member.VM.ID, "server", crash.Server, "error", err)
			}
		})
	}
}
