package assembler

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	stdlog "log"
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
	"github.com/dragonflypass/dragonflypass/core/composer"
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

func newResponder(settings *loader.Settings, core *composer.Node) *responder.Responder {
	r := &responder.Responder{
		Timer: core.Ports.Timer, Completer: core.Dispatcher, Forwarder: core.Forwarder, Buffer: core.Admitter,
		Current: core.Configurer.Current, Leaving: core.Detector.Leaving,
		MaxBodyBytes: settings.Limits.Body, UploadTimeout: time.Duration(settings.Limits.Upload), WriteTimeout: time.Duration(settings.Limits.Write),
	}
	core.Drainer.Busy = r.Busy
	return r
}

func newAdministrator(settings *loader.Settings, core *composer.Node, metrics *counter.Counter) *administrator.Administrator {
	return &administrator.Administrator{Core: core, Credential: settings.Admin.Secret.Value, Metrics: metrics}
}

func newPeerServer(settings *loader.Settings, core *composer.Node, pool dragonflypass.Pool, meter dragonflypass.Meter) *messenger.Server {
	s := messenger.NewServer()
	s.Credential, s.Pool, s.Meter, s.Handler = settings.Peers.Secret.Value, pool, meter, core.Handler()
	return s
}

// newServer returns an HTTP server that no slow client can hold up.
func newServer(settings *loader.Settings, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: headerLimit,
		ReadHeaderTimeout: time.Duration(settings.Limits.Header), IdleTimeout: time.Duration(settings.Limits.Idle),
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

// withProbes adds the health checks to the callers' interface, where the platform's balancer looks.
func withProbes(admin *administrator.Administrator, callers http.Handler) http.Handler {
	router := mux.NewRouter()
	admin.AddHealthChecks(router)
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
