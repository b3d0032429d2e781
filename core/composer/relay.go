package composer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/allocator"
	"github.com/dragonflypass/dragonflypass/core/balancer"
	"github.com/dragonflypass/dragonflypass/core/follower"
	"github.com/dragonflypass/dragonflypass/core/registrar"
	"github.com/dragonflypass/dragonflypass/core/relayer"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/router"
)

// RelayPorts are the outsides of a node that relays exchanges.
type RelayPorts struct {
	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Store   dragonflypass.Store
	Backend dragonflypass.Backend
	Peers   dragonflypass.Peers
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
}

// RelayOptions are the identity and limits of a node that relays exchanges.
type RelayOptions struct {
	Self        dragonflypass.VM
	Incarnation uint64
	// Revoke is the time after which no request with a key that was taken away may run.
	Revoke time.Duration
	// Apply is the time in which a new route table must be in force.
	Apply time.Duration
}

// Relay is the decisions of one entry VM that relays exchanges for the platform.
type Relay struct {
	Options   RelayOptions
	Ports     RelayPorts
	Routing   *follower.Follower
	Registry  *follower.Follower
	Router    *router.Router
	Registrar *registrar.Registrar
	Balancer  *balancer.Balancer
	Allocator *allocator.Allocator
	Relayer   *relayer.Relayer
	Retrier   *retrier.Retrier
}

const (
	// routingPeriod and routingWait pace the reads of the routing: each waits at the store for news.
	routingPeriod = 100 * time.Millisecond
	routingWait   = time.Second
	// registryPeriod paces the reads of the registry, whose records come all the time.
	registryPeriod = 700 * time.Millisecond
	// patience is the age of the newest proof from which a VM reads the store by itself.
	patience = 1500 * time.Millisecond
)

// ComposeRelay builds a node that relays exchanges; nothing runs before Run.
func ComposeRelay(options RelayOptions, ports RelayPorts) *Relay {
	n := &Relay{Options: options, Ports: ports, Retrier: retrier.New()}
	n.Routing = n.follow(dragonflypass.TopicRouting, dragonflypass.JobRouting, sameTable)
	n.Routing.Period, n.Routing.Wait = routingPeriod, routingWait
	n.Registry = n.follow(dragonflypass.TopicServers, dragonflypass.JobRegistry, sameServer)
	n.Registry.Period = registryPeriod

	r := &router.Router{Timer: ports.Timer, Meter: ports.Meter, Logger: ports.Logger, Proved: n.Routing.Proved}
	r.Revoke, r.Apply = options.Revoke, options.Apply
	n.Routing.Subscribe(r.Take)
	n.Router = r

	g := registrar.New()
	g.Timer, g.Logger, g.Returned, g.Changed = ports.Timer, ports.Logger, n.Registry.Returned, func() {}
	n.Registry.Subscribe(g.Take)
	n.Registrar = g

	b := balancer.New()
	b.Zone, b.Timer, b.Meter, b.Logger = options.Self.Zone, ports.Timer, ports.Meter, ports.Logger
	n.Balancer = b

	a := allocator.New()
	a.Self, a.Timer, a.Meter, a.Logger, a.Servers = options.Self.ID, ports.Timer, ports.Meter, ports.Logger, g.Servers
	n.Allocator = a

	l := relayer.New()
	l.Self, l.Incarnation, l.Timer, l.Backend = options.Self, options.Incarnation, ports.Timer, ports.Backend
	l.Meter, l.Logger, l.Router, l.Directory, l.Balancer = ports.Meter, ports.Logger, r, g, b
	l.Permits, l.Retrier = a, n.Retrier
	n.Relayer = l
	return n
}

func (n *Relay) follow(topic dragonflypass.Topic, kind dragonflypass.JobKind, same func(a, b dragonflypass.Update) bool) *follower.Follower {
	f := follower.New(topic, kind)
	f.Timer, f.Store, f.Meter, f.Logger = n.Ports.Timer, n.Ports.Store, n.Ports.Meter, n.Ports.Logger
	f.Patience, f.Same = patience, same
	f.Leads = func() bool { return true }
	return f
}

func sameTable(older, newer dragonflypass.Update) bool {
	return older.Table != nil && newer.Table != nil && older.Table.Version == newer.Table.Version
}

// sameServer compares entries but for the time for which the server remains slow.
func sameServer(older, newer dragonflypass.Update) bool {
	if older.Server == nil || newer.Server == nil {
		return false
	}
	a, b := *older.Server, *newer.Server
	a.Cold, b.Cold = 0, 0
	return a == b
}

// Run runs the parts until ctx ends; the pool and the timer service must be running.
func (n *Relay) Run(ctx context.Context) {
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){n.Routing.Run, n.Registry.Run, n.Registrar.Run, n.Relayer.Run} {
		parts.Go(func() { run(ctx) })
	}
	parts.Wait()
}

// Ready reports whether the node can serve.
func (n *Relay) Ready() bool {
	return n.Router.Trusted() && n.Registry.Known()
}
