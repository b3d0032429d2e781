package assembler

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

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
	"github.com/dragonflypass/dragonflypass/core/worker"
)

// closeTime bounds the closing of the HTTP servers after the requests have ended.
const closeTime = 2 * time.Second

// Node is the assembled process of one entry VM.
type Node struct {
	Settings  *loader.Settings
	Core      *composer.Node
	Listeners *Listeners
	Metrics   *counter.Counter
	Admin     *administrator.Administrator
	// Client reaches the other entry VMs.
	Client *messenger.Client

	parts   nodeParts
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
	closed  sync.Once
}

// nodeParts are the adapters that run or are closed.
type nodeParts struct {
	fx.In

	Pool       *worker.Pool
	Timer      *timer.Service
	Responder  *responder.Responder
	PeerServer *messenger.Server
	Appender   *appender.Appender
	Lister     *lister.Lister
	Streamer   *streamer.Streamer
}

// newNode ties the parts to the process's start and stop.
func newNode(lifecycle fx.Lifecycle, settings *loader.Settings, core *composer.Node, listeners *Listeners,
	metrics *counter.Counter, admin *administrator.Administrator, client *messenger.Client, parts nodeParts,
) *Node {
	n := &Node{Settings: settings, Core: core, Listeners: listeners, Metrics: metrics, Admin: admin, Client: client, parts: parts}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return n
}

func (n *Node) start(context.Context) error {
	peers := n.Listeners.Peers
	if files := n.Settings.Peers.TLS; files != nil {
		certificates, err := loadTLS(files)
		if err != nil {
			return err
		}
		peers = tls.NewListener(peers, certificates)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, run := range []func(context.Context){n.parts.Pool.Run, n.parts.Timer.Run, n.Core.Run} {
		n.running.Go(func() { run(ctx) })
	}
	n.serve(n.Listeners.Callers, withProbes(n.Admin, n.parts.Responder.Handler()))
	n.serve(peers, n.parts.PeerServer)
	n.serve(n.Listeners.Admin, n.Admin.Handler())
	return nil
}

func (n *Node) serve(listener net.Listener, handler http.Handler) {
	server := newServer(n.Settings, handler)
	n.servers = append(n.servers, server)
	n.running.Go(func() { _ = server.Serve(listener) })
}

// stop drains the VM, then ends the parts.
func (n *Node) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.Settings.Times.Drain))
	defer cancel()
	drained := n.Core.Drainer.Drain(ctx)
	n.closed.Do(n.close)
	return drained
}

func (n *Node) close() {
	n.parts.PeerServer.Close()
	for _, server := range n.servers {
		ctx, cancel := context.WithTimeout(context.Background(), closeTime)
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
		cancel()
	}
	n.Client.Close()
	n.cancel()
	n.running.Wait()
	n.parts.Appender.Close()
	n.parts.Lister.Close()
	n.parts.Streamer.Close()
}
