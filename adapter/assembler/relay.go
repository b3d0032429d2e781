package assembler

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
	"github.com/dragonflypass/dragonflypass/adapter/exposer"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/logger"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/platform"
)

const (
	// callerSilence is the time after which data that a caller does not acknowledge ends its connection.
	callerSilence = 5 * time.Second
	// callerHeader is the largest request head in bytes; the operators' limit lies below.
	callerHeader = 32 << 10
	// leaveTime is the time after SIGTERM in which the balancer notices that the VM is not ready: it asks
	// each second and needs two answers.
	leaveTime = 2500 * time.Millisecond
	// graceMargin is the part of the time before SIGKILL kept for closing.
	graceMargin = 500 * time.Millisecond
	// announceTimeout bounds one attempt to write this VM into the store, announcePause lies between two.
	announceTimeout = 2 * time.Second
	announcePause   = time.Second
	// idlePoll is the time between two looks at the requests in progress.
	idlePoll = 50 * time.Millisecond
)

// RelayModule provides the process of an entry VM that relays exchanges on the platform.
func RelayModule(settings *loader.RelaySettings, output io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			fx.Annotate(
				func(meter dragonflypass.Meter) (*logger.Logger, error) { return newLines(settings, output, meter) },
				fx.As(fx.Self()), fx.As(new(dragonflypass.Logger)),
			),
			fx.Annotate(counter.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Meter))),
			fx.Annotate(newRelayPool, fx.As(fx.Self()), fx.As(new(dragonflypass.Pool))),
			fx.Annotate(timer.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Timer))),
			fx.Annotate(newStore, fx.As(fx.Self()), fx.As(new(dragonflypass.Store)), fx.As(new(dragonflypass.Directory))),
			fx.Annotate(newRelayClient, fx.As(fx.Self()), fx.As(new(dragonflypass.PeerClient))),
			fx.Annotate(newServers, fx.As(fx.Self()), fx.As(new(dragonflypass.Backend))),
			newRelay, newRelayNode,
		),
	)
}

func newLines(settings *loader.RelaySettings, output io.Writer, meter dragonflypass.Meter) (*logger.Logger, error) {
	l, err := logger.New(settings.Log.Level)
	if err != nil {
		return nil, err
	}
	l.VM, l.Output, l.Meter = settings.Name, output, meter
	return l, nil
}

func newRelayPool(settings *loader.RelaySettings, meter dragonflypass.Meter) *worker.Pool {
	return &worker.Pool{Workers: settings.Workers, QueueLimit: poolRoom, Meter: meter}
}

func newStore(settings *loader.RelaySettings, meter dragonflypass.Meter) *platform.Store {
	s := platform.NewStore(settings.Store.Address)
	s.Meter = meter
	return s
}

func newServers(meter dragonflypass.Meter) *platform.Servers {
	s := platform.NewServers()
	s.Meter = meter
	return s
}

func newRelayClient(meter dragonflypass.Meter) *messenger.Client {
	c := messenger.NewClient()
	c.Meter = meter
	return c
}

type relayPorts struct {
	fx.In

	Peers     dragonflypass.PeerClient
	Directory dragonflypass.Directory

	Timer   dragonflypass.Timer
	Pool    dragonflypass.Pool
	Store   dragonflypass.Store
	Backend dragonflypass.Backend
	Meter   dragonflypass.Meter
	Logger  dragonflypass.Logger
}

// newRelay composes the decisions; the incarnation is the instant of the start, which rises with each.
func newRelay(settings *loader.RelaySettings, ports relayPorts) *composer.Relay {
	return composer.ComposeRelay(composer.RelayOptions{
		Self: settings.VM(), Incarnation: uint64(time.Now().UnixNano()), Seeds: settings.Seeds,
		HeartbeatInterval: time.Duration(settings.Times.Heartbeat), RetryRatio: settings.Budget.Ratio, RetryBurst: settings.Budget.Burst,
		RevokeLimit: time.Duration(settings.Times.Revoke), ApplyLimit: time.Duration(settings.Times.Apply),
	}, composer.RelayPorts{
		Timer: ports.Timer, Pool: ports.Pool, Store: ports.Store, Backend: ports.Backend, Meter: ports.Meter, Logger: ports.Logger,
		Peers: ports.Peers, Directory: ports.Directory,
	})
}

// RelayNode is the assembled process of one entry VM that relays exchanges.
type RelayNode struct {
	Settings *loader.RelaySettings
	Core     *composer.Relay
	Metrics  *counter.Counter

	// Pages shows what the process counts and believes.
	Pages *exposer.Exposer

	parts   relayParts
	callers *platform.Callers
	peers   *messenger.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
}

// relayParts are the adapters that run or are closed.
type relayParts struct {
	fx.In

	Pool    *worker.Pool
	Timer   *timer.Service
	Store   *platform.Store
	Servers *platform.Servers
	Client  *messenger.Client
	Lines   *logger.Logger
	Logger  dragonflypass.Logger
}

// newRelayNode ties the parts to the process's start and stop.
func newRelayNode(lifecycle fx.Lifecycle, settings *loader.RelaySettings, core *composer.Relay, metrics *counter.Counter, parts relayParts) *RelayNode {
	n := &RelayNode{Settings: settings, Core: core, Metrics: metrics, parts: parts}
	n.callers = &platform.Callers{Relay: core.Relayer, Limits: n.limits, Closing: func() bool { return !core.Ready() }, Meter: metrics, Body: settings.Limits.Body}
	parts.Client.Lost = core.Detector.ProbeAddress
	n.peers = messenger.NewServer()
	n.peers.Pool, n.peers.Meter, n.peers.Handler = parts.Pool, metrics, core.Handler()
	n.Pages = &exposer.Exposer{Core: core, Metrics: metrics, Busy: n.callers.Busy}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return n
}

// limits returns what callers may send.
func (n *RelayNode) limits() dragonflypass.CallerLimits {
	if table := n.Core.Router.Current(); table != nil {
		return table.Limits
	}
	return dragonflypass.CallerLimits{}
}

func (n *RelayNode) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	// The lines end last, once all else has.
	go n.parts.Lines.Run(context.Background())
	for _, run := range []func(context.Context){n.parts.Pool.Run, n.parts.Timer.Run, n.Core.Run} {
		n.running.Go(func() { run(ctx) })
	}
	listen := n.Settings.Listen
	for _, port := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{listen.Callers, n.callers}, {listen.Probes, platform.Readiness(n.Core.Ready)}, {listen.Peers, n.peers}} {
		if err := n.serve(port.address, port.handler); err != nil {
			return err
		}
	}
	if listen.Metrics.IsValid() {
		if err := n.serve(listen.Metrics, n.Pages.Handler()); err != nil {
			n.parts.Logger.Warn("metrics not served", "address", listen.Metrics, "error", err)
		}
	}
	n.running.Go(func() { n.announce(ctx) })
	n.parts.Logger.Info("started", "build", Build(), "zone", n.Settings.Zone, "callers", listen.Callers, "peers", listen.Peers)
	return nil
}

// announce writes this VM into the store, again until that is known to have been done.
func (n *RelayNode) announce(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		err := n.parts.Store.RegisterMember(call, n.Settings.VM())
		cancel()
		if err == nil {
			return
		}
		n.parts.Logger.Warn("not announced", "error", err)
		n.pause(ctx, announcePause)
	}
}

// serve opens the port and answers on it with the handler.
func (n *RelayNode) serve(address netip.AddrPort, handler http.Handler) error {
	config := net.ListenConfig{KeepAlive: -1, Control: dialer.UserTimeout(callerSilence)}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return eris.Wrap(err, "assembler: open a port")
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: callerHeader,
		ReadHeaderTimeout: time.Duration(n.Settings.Limits.Header), IdleTimeout: time.Duration(n.Settings.Limits.Idle),
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	n.servers = append(n.servers, server)
	n.running.Go(func() { _ = server.Serve(listener) })
	return nil
}

// stop has the balancer turn away, lets the requests in progress end, then ends the parts.
func (n *RelayNode) stop(ctx context.Context) error {
	n.Core.Leave(ctx)
	n.parts.Logger.Info("stopping", "requests", n.callers.Busy())
	began := time.Now()
	grace := time.Duration(n.Settings.Times.Grace) - graceMargin
	for time.Since(began) < grace && (time.Since(began) < leaveTime || n.callers.Busy() > 0) && ctx.Err() == nil {
		n.pause(ctx, idlePoll)
	}
	for _, server := range n.servers {
		closing, cancel := context.WithTimeout(ctx, graceMargin/2)
		if server.Shutdown(closing) != nil {
			_ = server.Close()
		}
		cancel()
	}
	n.parts.Logger.Info("stopped", "requests", n.callers.Busy())
	n.peers.Close()
	n.parts.Client.Close()
	n.cancel()
	n.running.Wait()
	n.parts.Store.Close()
	n.parts.Servers.Close()
	n.parts.Lines.Close()
	return nil
}

// pause waits for the span or until ctx ends.
func (n *RelayNode) pause(ctx context.Context, span time.Duration) {
	alarm := time.NewTimer(span)
	defer alarm.Stop()
	select {
	case <-alarm.C:
	case <-ctx.Done():
	}
}

// Reload takes over the settings that can change while the process runs; it names those that need a new start.
func (n *RelayNode) Reload(settings *loader.RelaySettings) {
	var applied, left []string
	if settings.Log.Level != n.Settings.Log.Level {
		// The level was checked with the settings.
		_ = n.parts.Lines.SetLevel(settings.Log.Level)
		applied = append(applied, "log.level")
	}
	old, fresh := *n.Settings, *settings
	old.Log, fresh.Log = loader.Log{}, loader.Log{}
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", old.Name == fresh.Name}, {"zone", old.Zone == fresh.Zone}, {"listen", old.Listen == fresh.Listen},
		{"store", old.Store == fresh.Store}, {"limits", old.Limits == fresh.Limits}, {"times", old.Times == fresh.Times},
		{"budget", old.Budget == fresh.Budget}, {"workers", old.Workers == fresh.Workers},
	} {
		if !part.same {
			left = append(left, part.name)
		}
	}
	n.Settings.Log = settings.Log
	n.parts.Logger.Info("settings read anew", "applied", applied, "need_new_start", left)
}

// Rejected notes that settings read anew are not used.
func (n *RelayNode) Rejected(err error) {
	n.parts.Logger.Warn("settings rejected", "error", err)
}

// Build names the commit that the program was built from.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
