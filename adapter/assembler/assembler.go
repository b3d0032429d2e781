package assembler

import (
	"io"
	"math/rand/v2"
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
	"github.com/dragonflypass/dragonflypass/core/admitter"
	"github.com/dragonflypass/dragonflypass/core/assigner"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/core/drainer"
	"github.com/dragonflypass/dragonflypass/core/estimator"
	"github.com/dragonflypass/dragonflypass/core/forwarder"
	"github.com/dragonflypass/dragonflypass/core/placer"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/ranker"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/scheduler"
	"github.com/dragonflypass/dragonflypass/core/watcher"
	"github.com/dragonflypass/dragonflypass/core/worker"
)

// poolRoom is the largest number of queued jobs of one kind.
const poolRoom = 4096

// Incarnation numbers the starts of a VM's process, rising with each.
type Incarnation uint64

// Module provides the parts of an entry VM's process with the settings.
func Module(settings *loader.Settings, output io.Writer) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Supply(Incarnation(time.Now().UnixNano())),
		fx.Provide(
			func() (dragonflypass.Logger, error) { return newLogger(settings, output) },
			fx.Annotate(counter.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Meter))),
			fx.Annotate(newPool, fx.As(fx.Self()), fx.As(new(dragonflypass.Pool))),
			fx.Annotate(timer.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Timer))),
			newListeners, newSelf,
			fx.Annotate(newAppender, fx.As(fx.Self()), fx.As(new(dragonflypass.Log))),
			fx.Annotate(newLister, fx.As(fx.Self()), fx.As(new(dragonflypass.Directory))),
			fx.Annotate(streamer.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Engine))),
			fx.Annotate(invoker.New, fx.As(fx.Self()), fx.As(new(dragonflypass.Caller))),
			fx.Annotate(newClient, fx.As(fx.Self()), fx.As(new(dragonflypass.Peers))),
			newGuard, newDetector, newConfigurer, newScheduler, newAssigner, newWatcher,
			newAdmitter, estimator.New, retrier.New, newDispatcher, newClaimer, newForwarder, newDrainer,
			newResponder, newAdministrator, newPeerServer, newNode,
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
	return &worker.Pool{Workers: settings.Workers, Room: poolRoom, Meter: meter}
}

// newSelf is the VM as others reach it, with the port that was bound.
func newSelf(settings *loader.Settings, listeners *Listeners) dragonflypass.VM {
	vm := settings.VM()
	vm.Peer = listeners.PeerAddress()
	return vm
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
	c.Credential = settings.Peers.Secret.Value
	c.Meter = meter
	if settings.Peers.TLS == nil {
		return c, nil
	}
	certificates, err := loadTLS(settings.Peers.TLS)
	c.TLS = certificates
	return c, err
}

func newGuard(timer dragonflypass.Timer, meter dragonflypass.Meter, logger dragonflypass.Logger) *quarantiner.Quarantiner {
	q := quarantiner.New()
	q.Timer, q.Meter, q.Logger = timer, meter, logger
	return q
}

type detectorParts struct {
	fx.In

	Settings    *loader.Settings
	Self        dragonflypass.VM
	Incarnation Incarnation
	Timer       dragonflypass.Timer
	Pool        dragonflypass.Pool
	Peers       dragonflypass.Peers
	Directory   dragonflypass.Directory
	Meter       dragonflypass.Meter
	Logger      dragonflypass.Logger
}

func newDetector(p detectorParts) *detector.Detector {
	d := detector.New()
	d.Self, d.Incarnation, d.Seeds = p.Self, uint64(p.Incarnation), p.Settings.SeedVMs()
	d.Timer, d.Pool, d.Peers, d.Directory = p.Timer, p.Pool, p.Peers, p.Directory
	d.Meter, d.Logger = p.Meter, p.Logger
	d.Interval = time.Duration(p.Settings.Times.Heartbeat)
	d.List = time.Duration(p.Settings.Times.List)
	return d
}

func newConfigurer(p detectorParts, log dragonflypass.Log, members *detector.Detector) *configurer.Configurer {
	c := configurer.New()
	c.Timer, c.Log, c.Peers, c.Members = p.Timer, log, p.Peers, members
	c.Meter, c.Logger = p.Meter, p.Logger
	c.Poll = time.Duration(p.Settings.Times.Poll)
	c.Retention = time.Duration(p.Settings.Platform.Retention)
	return c
}

func newScheduler(p detectorParts, engine dragonflypass.Engine, guard *quarantiner.Quarantiner, config *configurer.Configurer, members *detector.Detector) *scheduler.Scheduler {
	s := scheduler.New()
	s.Self, s.Timer, s.Pool, s.Engine, s.Meter, s.Guard = p.Self.ID, p.Timer, p.Pool, engine, p.Meter, guard
	s.Queue = ranker.New(func() [dragonflypass.RankCount]dragonflypass.RankPolicy { return config.Current().Ranks })
	s.Choice = placer.Least{}
	s.Current = config.Current
	s.Lease = time.Duration(p.Settings.Times.Lease)
	s.Lag = time.Duration(p.Settings.Times.Lag)
	s.Leaving = members.Leaving
	return s
}

func newAssigner(self dragonflypass.VM, members *detector.Detector, config *configurer.Configurer, owned *scheduler.Scheduler) *assigner.Assigner {
	a := assigner.New()
	a.Self, a.Live, a.Current, a.Own = self.ID, members.Live, config.Current, owned.Own
	return a
}

func newWatcher(p detectorParts, engine dragonflypass.Engine, guard *quarantiner.Quarantiner, owned *scheduler.Scheduler, members *detector.Detector) *watcher.Watcher {
	w := watcher.New()
	w.Timer, w.Pool, w.Engine, w.Peers, w.Members = p.Timer, p.Pool, engine, p.Peers, members
	w.Scheduler, w.Guard, w.Meter, w.Logger = owned, guard, p.Meter, p.Logger
	w.Period = time.Duration(p.Settings.Times.Report)
	return w
}

func newAdmitter(settings *loader.Settings, timer dragonflypass.Timer) *admitter.Admitter {
	a := admitter.New()
	a.Timer, a.Budget = timer, settings.Limits.Buffer
	return a
}

type dispatcherParts struct {
	fx.In

	Detector  *detector.Detector
	Scheduler *scheduler.Scheduler
	Assigner  *assigner.Assigner
	Admitter  *admitter.Admitter
	Estimator *estimator.Estimator
	Retrier   *retrier.Retrier
	Guard     *quarantiner.Quarantiner
	Config    *configurer.Configurer
	Engine    dragonflypass.Engine
}

func newDispatcher(p detectorParts, parts dispatcherParts) *dispatcher.Dispatcher {
	d := dispatcher.New()
	d.Self, d.Incarnation = p.Self, uint64(p.Incarnation)
	d.Timer, d.Pool, d.Peers, d.Engine, d.Meter = p.Timer, p.Pool, p.Peers, parts.Engine, p.Meter
	d.Owners, d.Local = parts.Detector, parts.Scheduler
	d.Placement = &placer.TwoChoices{Random: rand.New(rand.NewPCG(uint64(p.Incarnation), 0))}
	d.Admitter, d.Estimator, d.Retrier, d.Guard = parts.Admitter, parts.Estimator, parts.Retrier, parts.Guard
	d.Current, d.Owner, d.Leaving = parts.Config.Current, parts.Assigner.Owner, parts.Detector.Leaving
	d.ZoneDelay = time.Duration(p.Settings.Times.Delay)
	return d
}

func newClaimer(p detectorParts, log dragonflypass.Log) *claimer.Claimer {
	c := claimer.New(p.Settings.Shards, time.Duration(p.Settings.Platform.Retention), time.Duration(p.Settings.Times.Remember))
	c.Self, c.Incarnation = p.Self.ID, uint64(p.Incarnation)
	c.Timer, c.Pool, c.Log, c.Meter, c.Logger = p.Timer, p.Pool, log, p.Meter, p.Logger
	c.Poll = time.Duration(p.Settings.Times.Poll)
	return c
}

func newForwarder(p detectorParts, parts dispatcherParts, caller dragonflypass.Caller, claims *claimer.Claimer) *forwarder.Forwarder {
	f := forwarder.New()
	f.Zone, f.Timer, f.Caller, f.Meter = p.Self.Zone, p.Timer, caller, p.Meter
	f.Admitter, f.Retrier, f.Claimer = parts.Admitter, parts.Retrier, claims
	f.Current, f.Leaving = parts.Config.Current, parts.Detector.Leaving
	return f
}

func newDrainer(p detectorParts, parts dispatcherParts) *drainer.Drainer {
	return &drainer.Drainer{
		Self: p.Self.ID, Timer: p.Timer, Logger: p.Logger, Current: parts.Config.Current,
		Leave: parts.Detector.Leave, Recheck: parts.Scheduler.Recheck,
	}
}
