package messenger_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/standin/interrupter"
)

const (
	heartbeatTimeout = 300 * time.Millisecond
	// reconnectTime is the time within which a silent connection must have been replaced. It is shorter than the time from
	// which VMs consider each other gone.
	reconnectTime = 2 * time.Second
)

// connectThroughNetwork is like connect, with a network between the client and the server.
func connectThroughNetwork(t *testing.T, peer dragonflypass.PeerHandler) (*messenger.Client, dragonflypass.VM, *interrupter.Interrupter) {
	t.Helper()
	client, _, vm, network := connectServerThroughNetwork(t, peer)
	return client, vm, network
}

// connectServerThroughNetwork is like connectThroughNetwork and returns the server too.
func connectServerThroughNetwork(t *testing.T, peer dragonflypass.PeerHandler) (*messenger.Client, *messenger.Server, dragonflypass.VM, *interrupter.Interrupter) {
	t.Helper()
	client, server, vm := connectServer(t, peer, nil)
	network := &interrupter.Interrupter{Target: vm.Peer}
	address, err := network.Start()
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(network.Close)
	vm.Peer = address
	return client, server, vm, network
}

// exchangeHeartbeat exchanges a heartbeat with the VM, as the detector does.
func exchangeHeartbeat(ctx context.Context, client *messenger.Client, vm dragonflypass.VM) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, err := client.ExchangeHeartbeat(ctx, vm, dragonflypass.Heartbeat{From: vm})
	return err
}

// echoPeer returns each heartbeat after a delay.
type echoPeer struct {
	*fakePeer
	delay atomic.Int64
}

func (p *echoPeer) ExchangeHeartbeat(heartbeat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	time.Sleep(time.Duration(p.delay.Load()))
	return heartbeat
}

// TestSilentConnectionIsReplaced guards against VMs that consider each other gone for good because they keep using connections
// that have gone silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	client, vm, network := connectThroughNetwork(t, &echoPeer{fakePeer: newFakePeer()})
	c.Assert(exchangeHeartbeat(t.Context(), client, vm), qt.IsNil)
	for range 3 {
		network.Silence()
		silentAt := time.Now()
		for exchangeHeartbeat(t.Context(), client, vm) != nil {
			c.Assert(time.Since(silentAt) < reconnectTime, qt.IsTrue)
		}
	}
	c.Check(network.Accepted(), qt.Equals, 4)
}

// TestPermitRequestsEndWithSilentConnection guards against permit requests that wait at an owner whose outcome cannot arrive.
func TestPermitRequestsEndWithSilentConnection(t *testing.T) {
	c := qt.New(t)
	peer := &echoPeer{fakePeer: newFakePeer()}
	peer.withholdOutcome = true
	client, vm, network := connectThroughNetwork(t, peer)
	outcome := make(chan error, 1)
	go func() {
		_, err := client.Acquire(t.Context(), vm, request())
		outcome <- err
	}()
	<-peer.acquires
	c.Assert(exchangeHeartbeat(t.Context(), client, vm), qt.IsNil)
	network.Silence()
	silentAt := time.Now()
	for {
		_ = exchangeHeartbeat(t.Context(), client, vm)
		select {
		case err := <-outcome:
			c.Check(err, qt.ErrorIs, dragonflypass.ErrUncertain)
			return
		default:
			c.Assert(time.Since(silentAt) < reconnectTime, qt.IsTrue)
		}
	}
}

// TestIdleConnectionsAreChecked guards against connections that have gone silent while they were idle and stay open for good, at the
// client and at the server, with the permit requests that wait there.
func TestIdleConnectionsAreChecked(t *testing.T) {
	c := qt.New(t)
	peer := &echoPeer{fakePeer: newFakePeer()}
	peer.withholdOutcome = true
	client, server, vm, network := connectServerThroughNetwork(t, peer)
	lost := make(chan struct{}, 1)
	client.ConnectionLost = func(netip.AddrPort) { lost <- struct{}{} }
	go func() { _, _ = client.Acquire(t.Context(), vm, request()) }()
	<-peer.acquires
	const longIdle = 5 * time.Minute
	server.CheckIdle(time.Now())
	server.CheckIdle(time.Now().Add(longIdle))
	client.CheckIdle(time.Now().Add(longIdle))
	select {
	case <-peer.withdrawals:
		c.Fatal("a connection was closed that was only idle")
	case <-lost:
		c.Fatal("a connection was closed that was only idle")
	case <-time.After(reconnectTime):
	}
	network.Silence()
	server.CheckIdle(time.Now().Add(longIdle))
	client.CheckIdle(time.Now().Add(longIdle))
	c.Check(<-peer.withdrawals, qt.Equals, request().Stream)
	<-lost
	c.Check(exchangeHeartbeat(t.Context(), client, vm), qt.IsNil)
}

// TestConnectionToSlowPeerIsKept guards against reconnects to a VM that is only slow, which would slow it down further.
func TestConnectionToSlowPeerIsKept(t *testing.T) {
	c := qt.New(t)
	peer := &echoPeer{fakePeer: newFakePeer()}
	client, vm, network := connectThroughNetwork(t, peer)
	c.Assert(exchangeHeartbeat(t.Context(), client, vm), qt.IsNil)
	peer.delay.Store(int64(2 * heartbeatTimeout))
	for range 8 {
		err := exchangeHeartbeat(t.Context(), client, vm)
		c.Check(errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Check(network.Accepted(), qt.Equals, 1)
}
