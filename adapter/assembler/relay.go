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
	"github.com/dragonflypass/dragonflypass/adapter/acceptor"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
	"github.com/dragonflypass/dragonflypass/adapter/exposer"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/logger"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/rationer"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/platform"
)

const (
	// callerUserTimeout is the time after which a connection is closed if the caller has not acknowledged the data sent.
	callerUserTimeout = 5 * time.Second
	// maxRelayHeaderBytes is the maximum size of a request head; the limit set by the operators is lower.
	maxRelayHeaderBytes = 32 << 10
	// minDrainTime is the minimum time between SIGTERM and closing the ports. The load balancer probes readiness
	// every second and stops sending requests after two failed probes.
	minDrainTime = 2500 * time.Millisecond
	// shutdownMargin is the time before SIGKILL that is reserved for closing servers and connections.
	shutdownMargin = 500 * time.Millisecond
	// refusalTime is the time before closing the ports in which the requests that have not ended are refused.
	refusalTime = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in progress.
	drainPollInterval = 50 * time.Millisecond
)

// RelayModule provides the RelayNode of an entry VM with these settings; log lines are written to the output.
func RelayModule(settings *loader.RelaySettings, output io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			fx.Annotate(
				func(meter dragonflypass.Meter) (*logger.Logger, error) {
					return newRelayLogger(settings, output, meter)
				},
				fx.As(fx.Self()), fx.As(new(dragonflypass.Logger)),
			),
			fx.Annotate(counter.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Meter))),
			fx.Annotate(newRelayPool, fx.As(fx.Self()), fx.As(new(dragonflypass.Pool))),
			fx.Annotate(timer.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Timer))),
			fx.Annotate(newStore, fx.As(fx.Self()), fx.As(new(dragonflypass.Store)), fx.As(new(dragonflypass.Directory))),
			fx.Annotate(newRelayClient, fx.As(fx.Self()), fx.As(new(dragonflypass.PeerClient))),
			fx.Annotate(newBackend, fx.As(fx.Self()), fx.As(new(dragonflypass.Backend))),
			newRelay, newRelayRationer, newRelayNode,
		),
	)
}

func newRelayLogger(settings *loader.RelaySettings, output io.Writer, meter dragonflypass.Meter) (*logger.Logger, error) {
	l, err := logger.New(settings.Log.Level)
	if err != nil {
		return nil, err
	}
	l.VM, l.Output, l.Meter = settings.Name, output, meter
	return l, nil
}

func newRelayPool(settings *loader.RelaySettings, meter dragonflypass.Meter) *worker.Pool {
	return &worker.Pool{Workers: settings.Workers, QueueLimit: jobQueueLimit, Meter: meter}
}

func newStore(settings *loader.RelaySettings, meter dragonflypass.Meter) *platform.Store {
	s := platform.NewStore(settings.Store.Address)
	s.Meter = meter
	return s
}

func newBackend(meter dragonflypass.Meter, logger dragonflypass.Logger) *platform.Servers {
	s := platform.NewServers()
	s.Meter, s.Logger = meter, logger
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

// newRelay composes the core of the node. The incarnation is the start time, so each start has a higher one.
func newRelay(settings *loader.RelaySettings, ports relayPorts) *composer.Relay {
	core := composer.ComposeRelay(composer.RelayOptions{
		Self: settings.VM(), Incarnation: uint64(time.Now().UnixNano()), Seeds: settings.Seeds,
		HeartbeatInterval: time.Duration(settings.Times.HeartbeatInterval), RetryRatio: settings.Budget.Ratio, RetryBurst: settings.Budget.Burst,
		RevokeLimit: time.Duration(settings.Times.RevokeLimit), ApplyLimit: time.Duration(settings.Times.ApplyLimit),
		ColdOvershoot: settings.Limits.ColdOvershoot, ColdSlack: settings.Limits.ColdSlack,
		ShutdownTime: maxDrainTime(settings) - refusalTime,
	}, composer.RelayPorts{
		Timer: ports.Timer, Pool: ports.Pool, Store: ports.Store, Backend: ports.Backend, Meter: ports.Meter, Logger: ports.Logger,
		Peers: ports.Peers, Directory: ports.Directory,
	})
	core.Balancer.BodyLimit = settings.Limits.ServerBytes
	return core
}

// RelayNode is the process of one entry VM that relays exchanges on the platform.
type RelayNode struct {
	Settings *loader.RelaySettings
	Core     *composer.Relay
	Metrics  *counter.Counter

	// Exposer serves the metrics and state dumps.
	Exposer *exposer.Exposer

	adapters       relayAdapters
	callers        *platform.Callers
	peers          *messenger.Server
	cancel         context.CancelFunc
	stopPeerChecks func()
	wg             sync.WaitGroup
	servers        []*http.Server
}

// relayAdapters are the adapters that the node starts or closes.
type relayAdapters struct {
	fx.In

	Pool      *worker.Pool
	Timer     *timer.Service
	Store     *platform.Store
	Servers   *platform.Servers
	Client    *messenger.Client
	LogWriter *logger.Logger
	Logger    dragonflypass.Logger
	Rationer  *rationer.Rationer
}

// newRelayNode returns the node and registers its start and stop with the lifecycle of the process.
func newRelayNode(lifecycle fx.Lifecycle, settings *loader.RelaySettings, core *composer.Relay, metrics *counter.Counter, adapters relayAdapters) *RelayNode {
	n := &RelayNode{Settings: settings, Core: core, Metrics: metrics, adapters: adapters}
	n.callers = &platform.Callers{Relay: core.Relayer, Limits: n.limits, CloseConnections: func() bool { return !core.Ready() }, Meter: metrics, Logger: adapters.Logger, MaxBodyBytes: settings.Limits.MaxBodyBytes, Rationer: adapters.Rationer, BodyStall: time.Duration(settings.Limits.BodyStall)}
	adapters.Client.ConnectionLost = core.Detector.ProbeAddress
	n.peers = messenger.NewServer()
	n.peers.Pool, n.peers.Meter, n.peers.Handler = adapters.Pool, metrics, core.Handler()
	n.Exposer = &exposer.Exposer{Core: core, Metrics: metrics, Busy: n.callers.Busy, Usage: adapters.Rationer.Usage}
	lifecycle.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
	return n
}

// limits returns the limits on callers' requests, the zero value while there is no route table.
func (n *RelayNode) limits() dragonflypass.CallerLimits {
	if table := n.Core.Router.Current(); table != nil {
		return table.Limits
	}
	return dragonflypass.CallerLimits{}
}

func (n *RelayNode) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	// The log writer has its own context, because it must run until everything else has stopped.
	go n.adapters.LogWriter.Run(context.Background())
	for _, run := range []func(context.Context){n.adapters.Pool.Run, n.adapters.Timer.Run, n.Core.Run} {
		n.wg.Go(func() { run(ctx) })
	}
	n.stopPeerChecks = checkPeers(n.adapters.Timer, n.adapters.Client, n.peers)
	listen := n.Settings.Listen
	for _, port := range []struct {
		address netip.AddrPort
		handler http.Handler
		rations *rationer.Rationer
	}{
		{listen.Callers, n.callers, n.adapters.Rationer}, {listen.Probes, platform.Readiness(n.Core.Ready), n.portRationer(loader.OtherConnections)},
		{listen.Peers, n.peers, n.portRationer(n.Settings.Limits.PeerConnections)},
	} {
		if err := n.serve(port.address, port.handler, port.rations); err != nil {
			return err
		}
	}
	if listen.Metrics.IsValid() {
		if err := n.serve(listen.Metrics, n.Exposer.Handler(), n.portRationer(loader.OtherConnections)); err != nil {
			n.adapters.Logger.Warn("metrics not served", "address", listen.Metrics, "error", err)
		}
	}
	n.adapters.Logger.Info("started", "build", Build(), "zone", n.Settings.Zone, "callers", listen.Callers, "peers", listen.Peers)
	return nil
}

// portRationer returns the rationer of a port that takes that many connections.
func (n *RelayNode) portRationer(connections int) *rationer.Rationer {
	return newRationer(loader.PortRations(connections), n.Metrics, n.adapters.Logger)
}

// serve opens the port and serves the handler on it.
func (n *RelayNode) serve(address netip.AddrPort, handler http.Handler, rations *rationer.Rationer) error {
	config := net.ListenConfig{KeepAlive: -1, Control: dialer.UserTimeout(callerUserTimeout)}
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return eris.Wrap(err, "assembler: open a port")
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxRelayHeaderBytes,
		ReadHeaderTimeout: time.Duration(n.Settings.Limits.HeaderTimeout), IdleTimeout: time.Duration(n.Settings.Limits.IdleTimeout),
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	acceptor.Attach(server)
	n.servers = append(n.servers, server)
	n.wg.Go(func() { _ = server.Serve(&acceptor.Acceptor{Listener: listener, Rationer: rations}) })
	return nil
}

// stop makes the VM not ready, so that the load balancer stops sending requests, waits until the requests
// in progress have ended and then shuts everything down.
func (n *RelayNode) stop(ctx context.Context) error {
	n.Core.Leave(ctx)
	n.adapters.Logger.Info("stopping", "requests", n.callers.Busy())
	start := time.Now()
	drainTime := maxDrainTime(n.Settings)
	// A request that is still waiting then would end with its connection, without an answer.
	defer time.AfterFunc(drainTime-refusalTime, n.Core.Relayer.EndOpen).Stop()
	for time.Since(start) < drainTime && (time.Since(start) < minDrainTime || n.callers.Busy() > 0) && ctx.Err() == nil {
		n.wait(ctx, drainPollInterval)
	}
	closeServers(ctx, n.servers, start.Add(drainTime))
	n.adapters.Logger.Info("stopped", "requests", n.callers.Busy())
	n.stopPeerChecks()
	n.peers.Close()
	n.adapters.Client.Close()
	n.cancel()
	n.wg.Wait()
	n.adapters.Store.Close()
	n.adapters.Servers.Close()
	n.adapters.LogWriter.Close()
	return nil
}

// maxDrainTime returns the maximum time from SIGTERM to the end of the last request.
func maxDrainTime(settings *loader.RelaySettings) time.Duration {
	return time.Duration(settings.Times.ShutdownTimeout) - shutdownMargin
}

// closeServers closes the ports and waits until the requests in progress have ended, at the latest until the deadline.
// Requests may have arrived since the last check for requests in progress.
func closeServers(ctx context.Context, servers []*http.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	wg.Wait()
}

// wait waits for the duration or until ctx ends.
func (n *RelayNode) wait(ctx context.Context, duration time.Duration) {
	waitTimer := time.NewTimer(duration)
	defer waitTimer.Stop()
	select {
	case <-waitTimer.C:
	case <-ctx.Done():
	}
}

// Reload applies the settings that can change while the process runs and logs the names of changed ones that need a restart.
func (n *RelayNode) Reload(settings *loader.RelaySettings) {
	var applied, restartNeeded []string
	if settings.Log.Level != n.Settings.Log.Level {
		// The error is always nil: the level was validated with the settings.
		_ = n.adapters.LogWriter.SetLevel(settings.Log.Level)
		applied = append(applied, "log.level")
	}
	old, updated := *n.Settings, *settings
	old.Log, updated.Log = loader.Log{}, loader.Log{}
	for _, section := range []struct {
		name      string
		unchanged bool
	}{
		{"name", old.Name == updated.Name}, {"zone", old.Zone == updated.Zone}, {"listen", old.Listen == updated.Listen},
		{"store", old.Store == updated.Store}, {"limits", old.Limits == updated.Limits}, {"times", old.Times == updated.Times},
		{"budget", old.Budget == updated.Budget}, {"workers", old.Workers == updated.Workers},
	} {
		if !section.unchanged {
			restartNeeded = append(restartNeeded, section.name)
		}
	}
	n.Settings.Log = settings.Log
	n.adapters.Logger.Info("settings read anew", "applied", applied, "need_new_start", restartNeeded)
}

// LogRejectedSettings logs that reloaded settings are invalid and were not applied.
func (n *RelayNode) LogRejectedSettings(err error) {
	n.adapters.Logger.Warn("settings rejected", "error", err)
}

// Build returns the commit from which the program was built, the module version if the commit is not recorded,
// or "unknown" if the program has no build information.
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
