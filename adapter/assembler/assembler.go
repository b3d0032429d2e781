package assembler

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/appender"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/invoker"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/adapter/timer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/worker"
)

// jobQueueLimit is the maximum number of queued jobs of one kind.
const jobQueueLimit = 4096

// Module provides the Node of an entry VM with these settings; log lines are written to the output.
func Module(settings *loader.Settings, output io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			func() (dragonflypass.Logger, error) { return newLogger(settings, output) },
			fx.Annotate(counter.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Meter))),
			fx.Annotate(newPool, fx.As(fx.Self()), fx.As(new(dragonflypass.Pool))),
			fx.Annotate(timer.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Timer))),
			fx.Annotate(newAppender, fx.As(fx.Self()), fx.As(new(dragonflypass.Log))),
			fx.Annotate(newLister, fx.As(fx.Self()), fx.As(new(dragonflypass.Directory))),
			fx.Annotate(streamer.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Engine))),
			fx.Annotate(invoker.New, fx.As(fx.Self()), fx.As(new(dragonflypass.ServiceClient))),
			fx.Annotate(newClient, fx.As(fx.Self()), fx.As(new(dragonflypass.PeerClient))),
			newListeners, newNodeRationer, newCore, newResponder, newAdministrator, newPeerServer, newNode,
		),
	)
}

func newLogger(settings *loader.Settings, output io.Writer) (dragonflypass.Logger, error) {
	level, err := log.ParseLevel(settings.Log.Level)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: log level")
	}
	formatter := log.TextFormatter
	if settings.Log.Format == "json" {
		formatter = log.JSONFormatter
	}
	logger := log.NewWithOptions(output, log.Options{Level: level, Formatter: formatter, ReportTimestamp: true, TimeFormat: time.RFC3339})
	return logger.With("vm", settings.Name), nil
}

func newPool(settings *loader.Settings, meter dragonflypass.Meter) *worker.Pool {
	return &worker.Pool{Workers: settings.Workers, QueueLimit: jobQueueLimit, Meter: meter}
}

func newAppender(settings *loader.Settings) *appender.Appender {
	a := appender.New(settings.Platform.Address)
	a.Credential = settings.Platform.Secret.Value
	return a
}

func newLister(settings *loader.Settings) *lister.Lister {
	return lister.New(settings.Platform.Address)
}

func newClient(settings *loader.Settings, meter dragonflypass.Meter) (*messenger.Client, error) {
	c := messenger.NewClient()
	c.Credential, c.Meter = settings.Peers.Secret.Value, meter
	if settings.Peers.TLS == nil {
		return c, nil
	}
	tlsConfig, err := loadTLS(settings.Peers.TLS)
	c.TLS = tlsConfig
	return c, err
}

// checkPeers periodically closes the silent connections between this VM and others until stop is called.
func checkPeers(service dragonflypass.Timer, client *messenger.Client, server *messenger.Server) (stop func()) {
	return service.Every(dragonflypass.JobPeer, messenger.CheckInterval, func(context.Context) {
		client.CheckIdle(service.Now())
		server.CheckIdle(service.Now())
	})
}

type corePorts struct {
	fx.In

	Timer     dragonflypass.Timer
	Pool      dragonflypass.Pool
	Log       dragonflypass.Log
	Directory dragonflypass.Directory
	Engine    dragonflypass.Engine
	Caller    dragonflypass.ServiceClient
	Peers     dragonflypass.PeerClient
	Meter     dragonflypass.Meter
	Logger    dragonflypass.Logger
}

// newCore composes the core of the node. The incarnation is the start time, so each start has a higher one.
func newCore(settings *loader.Settings, listeners *Listeners, ports corePorts) *composer.Node {
	self := settings.VM()
	self.Peer = listeners.PeerAddress()
	times := settings.Times
	options := composer.Options{
		Self:               self,
		Incarnation:        uint64(time.Now().UnixNano()),
		Seeds:              settings.SeedVMs(),
		HeartbeatInterval:  time.Duration(times.HeartbeatInterval),
		ReportInterval:     time.Duration(times.ReportInterval),
		LogPollInterval:    time.Duration(times.LogPollInterval),
		MemberPollInterval: time.Duration(times.MemberPollInterval),
		Lease:              time.Duration(times.Lease),
		ReportLag:          time.Duration(times.ReportLag),
		ZoneDelay:          time.Duration(times.ZoneDelay),
		LogRetention:       time.Duration(settings.Platform.Retention),
		OutcomeRetention:   time.Duration(times.OutcomeRetention),
		Shards:             settings.Shards,
	}
	return composer.Compose(options, composer.Ports{
		Timer: ports.Timer, Pool: ports.Pool, Log: ports.Log, Directory: ports.Directory, Engine: ports.Engine,
		ServiceClient: ports.Caller, Peers: ports.Peers, Meter: ports.Meter, Logger: ports.Logger,
	})
}
