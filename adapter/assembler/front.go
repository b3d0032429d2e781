package assembler

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/responder"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/core/detector"
	"github.com/dragonflypass/dragonflypass/core/dispatcher"
	"github.com/dragonflypass/dragonflypass/core/drainer"
	"github.com/dragonflypass/dragonflypass/core/forwarder"
	"github.com/dragonflypass/dragonflypass/core/handler"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/scheduler"
)

// headerLimit is the largest header of a request in bytes.
const headerLimit = 64 << 10

// Listeners are the open ports of the process.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// newListeners opens the ports; a port of 0 in the settings stands for any free one.
func newListeners(settings *loader.Settings) (*Listeners, error) {
	var l Listeners
	for _, port := range []struct {
		into    *net.Listener
		address netip.AddrPort
	}{{&l.Callers, settings.Listen.Callers}, {&l.Peers, settings.Listen.Peers}, {&l.Admin, settings.Listen.Admin}} {
		listener, err := net.Listen("tcp", port.address.String())
		if err != nil {
			l.close()
			return nil, eris.Wrap(err, "assembler: open a port")
		}
		*port.into = listener
	}
	return &l, nil
}

func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

// CallerAddress is where callers reach the process.
func (l *Listeners) CallerAddress() netip.AddrPort { return addressOf(l.Callers) }

// PeerAddress is where other entry VMs reach the process.
func (l *Listeners) PeerAddress() netip.AddrPort { return addressOf(l.Peers) }

// AdminAddress is where operators reach the process.
func (l *Listeners) AdminAddress() netip.AddrPort { return addressOf(l.Admin) }

func newResponder(settings *loader.Settings, timer dragonflypass.Timer, parts dispatcherParts, completions *dispatcher.Dispatcher, calls *forwarder.Forwarder) *responder.Responder {
	return &responder.Responder{
		Timer: timer, Completer: completions, Forwarder: calls, Buffer: parts.Admitter,
		Current: parts.Config.Current, Leaving: parts.Detector.Leaving,
		Body: settings.Limits.Body, Upload: time.Duration(settings.Limits.Upload), Write: time.Duration(settings.Limits.Write),
	}
}

type adminParts struct {
	parts dispatcherParts
	self  dragonflypass.VM
	start Incarnation
	open  *dispatcher.Dispatcher
	front *responder.Responder
	admin *administrator.Administrator
}

func newAdministrator(settings *loader.Settings, timer dragonflypass.Timer, self dragonflypass.VM, start Incarnation, parts dispatcherParts,
	metrics *counter.Counter, claims *claimer.Claimer, open *dispatcher.Dispatcher, front *responder.Responder, drains *drainer.Drainer,
) *administrator.Administrator {
	drains.Busy = front.Busy
	p := &adminParts{parts: parts, self: self, start: start, open: open, front: front}
	p.admin = &administrator.Administrator{
		Self: self.ID, Credential: settings.Admin.Secret.Value, Timer: timer, Configurer: parts.Config, Claimer: claims,
		Members: parts.Detector, Metrics: metrics, State: p.state, Ready: p.ready, Drain: drains.Start,
	}
	return p.admin
}

// ready reports whether the VM takes callers' requests: it has a configuration and is not leaving.
func (p *adminParts) ready() bool {
	return !p.parts.Detector.Leaving() && p.parts.Config.Current().Offset > 0
}

func (p *adminParts) state() administrator.State {
	state := administrator.State{
		VM: string(p.self.ID), Zone: string(p.self.Zone), Incarnation: uint64(p.start), At: p.admin.Timer.Now(),
		Leaving: p.parts.Detector.Leaving(), Ready: p.ready(), Config: uint64(p.parts.Config.Current().Offset),
		Busy: p.front.Busy(), Open: p.open.Open(), Buffered: p.parts.Admitter.Buffered(),
	}
	state.SetMembers(p.parts.Detector.Others())
	state.SetOwned(p.parts.Scheduler.State())
	state.SetSuspects(p.parts.Guard.Rows())
	p.admin.SetClaims(&state)
	return state
}

func newPeerServer(settings *loader.Settings, pool dragonflypass.Pool, meter dragonflypass.Meter, members *detector.Detector,
	config *configurer.Configurer, owned *scheduler.Scheduler, guard *quarantiner.Quarantiner,
) *messenger.Server {
	s := messenger.NewServer()
	s.Credential, s.Pool, s.Meter = settings.Peers.Secret.Value, pool, meter
	s.Handler = &handler.Handler{Scheduler: owned, Detector: members, Configurer: config, Guard: guard}
	return s
}

// newServer returns an HTTP server that no slow client can hold up.
func newServer(settings *loader.Settings, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: headerLimit,
		ReadHeaderTimeout: time.Duration(settings.Limits.Header), IdleTimeout: time.Duration(settings.Limits.Idle),
		ErrorLog: quietLog(),
	}
}

// withProbes adds the health checks to the callers' interface, where the platform's balancer looks.
func withProbes(admin *administrator.Administrator, callers http.Handler) http.Handler {
	router := mux.NewRouter()
	admin.Probes(router)
	router.PathPrefix("/").Handler(callers)
	return router
}

// loadTLS reads the certificates by which entry VMs know each other.
func loadTLS(files *loader.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: read the certificate")
	}
	authority, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: read the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.New("assembler: the authority's file holds no certificate")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}
