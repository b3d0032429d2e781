package assembler

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/acceptor"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/responder"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/core/worker"
)

// serverCloseTimeout is the maximum time for shutting down each HTTP server after the drain.
const serverCloseTimeout = 2 * time.Second

// Node is the process of one entry VM.
type Node struct {
	Settings  *loader.Settings
	Core      *composer.Node
	Listeners *Listeners
	Metrics   *counter.Counter
	Admin     *administrator.Administrator
	// Client sends messages to the other entry VMs.
	Client *messenger.Client

	adapters       nodeAdapters
	cancel         context.CancelFunc
	stopPeerChecks func()
	wg             sync.WaitGroup
	servers        []*http.Server
	closeOnce      sync.Once
}

// nodeAdapters are the adapters that the node starts or closes.
type nodeAdapters struct {
	fx.In

	Pool       *worker.Pool
	Timer      *timer.Service
	Responder  *responder.Responder
	PeerServer *messenger.Server
	Appender   *appender.Appender
	Lister     *lister.Lister
	Streamer   *streamer.Streamer
	Rationer   *rationer.Rationer
	Logger     dragonflypass.Logger
}

// newNode returns the node and registers its start and stop with the lifecycle of the process.
func newNode(lifecycle fx.Lifecycle, settings *loader.Settings, core *composer.Node, listeners *Listeners,
	metrics *counter.Counter, admin *administrator.Administrator, client *messenger.Client, adapters nodeAdapters,
) *Node {
	n := &Node{Settings: settings, Core: core, Listeners: listeners, Metrics: metrics, Admin: admin, Client: client, adapters: adapters}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return n
}

func (n *Node) start(context.Context) error {
	limits := &n.Settings.Limits
	restrict := func(listener net.Listener, connections int) net.Listener {
		return &acceptor.Acceptor{Listener: listener, Rationer: newRationer(loader.PortRations(connections), n.Metrics, n.adapters.Logger)}
	}
	peers := restrict(n.Listeners.Peers, limits.PeerConnections)
	if files := n.Settings.Peers.TLS; files != nil {
		tlsConfig, err := loadTLS(files)
		if err != nil {
			return err
		}
		peers = tls.NewListener(peers, tlsConfig)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, run := range []func(context.Context){n.adapters.Pool.Run, n.adapters.Timer.Run, n.Core.Run} {
		n.wg.Go(func() { run(ctx) })
	}
	n.stopPeerChecks = checkPeers(n.adapters.Timer, n.Client, n.adapters.PeerServer)
	n.serve(&acceptor.Acceptor{Listener: n.Listeners.Callers, Rationer: n.adapters.Rationer}, withHealthChecks(n.Admin, n.adapters.Responder.Handler()))
	n.serve(peers, n.adapters.PeerServer)
	n.serve(restrict(n.Listeners.Admin, loader.OtherConnections), n.Admin.Handler())
	return nil
}

func (n *Node) serve(listener net.Listener, handler http.Handler) {
	server := newServer(n.Settings, handler)
	n.servers = append(n.servers, server)
	n.wg.Go(func() { _ = server.Serve(listener) })
}

// stop drains the VM and then shuts everything down.
func (n *Node) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.Settings.Times.DrainTimeout))
	defer cancel()
	drainErr := n.Core.Drainer.Drain(ctx)
	n.closeOnce.Do(n.close)
	return drainErr
}

func (n *Node) close() {
	n.stopPeerChecks()
	n.adapters.PeerServer.Close()
	for _, server := range n.servers {
		ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
		cancel()
	}
	n.Client.Close()
	n.cancel()
	n.wg.Wait()
	n.adapters.Appender.Close()
	n.adapters.Lister.Close()
	n.adapters.Streamer.Close()
}
