package assembler

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/responder"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/core/drainer"
	"github.com/dragonflypass/dragonflypass/core/watcher"
	"github.com/dragonflypass/dragonflypass/core/worker"
)

// closeTime bounds the closing of the HTTP servers after the requests have ended.
const closeTime = 2 * time.Second

// Node is the assembled process of one entry VM.
type Node struct {
	Settings  *loader.Settings
	Self      dragonflypass.VM
	Listeners *Listeners
	Metrics   *counter.Counter
	Admin     *administrator.Administrator
	Drainer   *drainer.Drainer
	// Client reaches the other entry VMs.
	Client *messenger.Client

	parts   nodeParts
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
}

// nodeParts are the parts that run.
type nodeParts struct {
	fx.In

	Common     detectorParts
	Dispatch   dispatcherParts
	Listeners  *Listeners
	Metrics    *counter.Counter
	Pool       *worker.Pool
	Timer      *timer.Service
	Configurer *configurer.Configurer
	Watcher    *watcher.Watcher
	Dispatcher *dispatcher.Dispatcher
	Claimer    *claimer.Claimer
	Drainer    *drainer.Drainer
	Responder  *responder.Responder
	Admin      *administrator.Administrator
	PeerServer *messenger.Server
	Client     *messenger.Client
	Appender   *appender.Appender
	Lister     *lister.Lister
	Streamer   *streamer.Streamer
}

// newNode ties the parts to each other and to the process's start and stop.
func newNode(lifecycle fx.Lifecycle, parts nodeParts) *Node {
	n := &Node{
		Settings: parts.Common.Settings, Self: parts.Common.Self, Listeners: parts.Listeners, Metrics: parts.Metrics,
		Admin: parts.Admin, Drainer: parts.Drainer, Client: parts.Client, parts: parts,
	}
	n.connect()
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return n
}

// connect sets what parts need of parts that are made after them.
func (n *Node) connect() {
	p := &n.parts
	members := p.Dispatch.Detector
	members.Config = func() dragonflypass.Offset { return p.Configurer.Current().Offset }
	members.Loads = p.Dispatch.Scheduler.Loads
	members.Held = p.Dispatcher.Held
	members.Received = p.Dispatch.Scheduler.Heard
	members.Subscribe(p.Dispatch.Assigner.Assign)
	p.Configurer.Subscribe(func(*dragonflypass.Configuration) { p.Dispatch.Assigner.Assign() })
}

func (n *Node) start(context.Context) error {
	certificates, err := n.certificates()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	p := &n.parts
	for _, run := range []func(context.Context){
		p.Pool.Run, p.Timer.Run, p.Dispatch.Detector.Run, p.Configurer.Run, p.Dispatch.Scheduler.Run,
		p.Watcher.Run, p.Dispatcher.Run, p.Claimer.Run, p.Drainer.Run,
	} {
		n.running.Go(func() { run(ctx) })
	}
	p.Pool.Submit(dragonflypass.JobConfig, p.Configurer.Refresh)
	peers := p.Listeners.Peers
	if certificates != nil {
		peers = tls.NewListener(peers, certificates)
	}
	n.serve(p.Listeners.Callers, withProbes(p.Admin, p.Responder.Handler()))
	n.serve(peers, p.PeerServer)
	n.serve(p.Listeners.Admin, p.Admin.Handler())
	return nil
}

func (n *Node) certificates() (*tls.Config, error) {
	if n.Settings.Peers.TLS == nil {
		return nil, nil
	}
	return loadTLS(n.Settings.Peers.TLS)
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
	drained := n.parts.Drainer.Drain(ctx)
	n.close()
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
	n.parts.Client.Close()
	n.cancel()
	n.running.Wait()
	n.parts.Appender.Close()
	n.parts.Lister.Close()
	n.parts.Streamer.Close()
}

// Kill ends the parts at once, as the death of the process would.
func (n *Node) Kill() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.close()
}

func quietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
