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
	"github.com/dragonflypass/dragonflypass/adapter/acceptor"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/counter"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/responder"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/rationer"
)

// maxHeaderBytes is the maximum size of a request header.
const maxHeaderBytes = 64 << 10

// Listeners are the listening sockets of the process.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// newListeners opens the listening sockets; port 0 in the settings selects any free port.
func newListeners(settings *loader.Settings) (*Listeners, error) {
	var l Listeners
	for _, port := range []struct {
		target  *net.Listener
		address netip.AddrPort
	}{{&l.Callers, settings.Listen.Callers}, {&l.Peers, settings.Listen.Peers}, {&l.Admin, settings.Listen.Admin}} {
		listener, err := net.Listen("tcp", port.address.String())
		if err != nil {
			l.close()
			return nil, eris.Wrap(err, "assembler: open a port")
		}
		*port.target = listener
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

// CallerAddress returns the address for callers.
func (l *Listeners) CallerAddress() netip.AddrPort { return addressOf(l.Callers) }

// PeerAddress returns the address for the other entry VMs.
func (l *Listeners) PeerAddress() netip.AddrPort { return addressOf(l.Peers) }

// AdminAddress returns the address for operators.
func (l *Listeners) AdminAddress() netip.AddrPort { return addressOf(l.Admin) }

func newResponder(settings *loader.Settings, core *composer.Node, rations *rationer.Rationer) *responder.Responder {
	r := &responder.Responder{
		Timer: core.Ports.Timer, Completer: core.Dispatcher, Forwarder: core.Forwarder, Rationer: rations, BodyStall: time.Duration(settings.Limits.BodyStall),
		Current: core.Configurer.Current, Leaving: core.Detector.Leaving,
		MaxBodyBytes: settings.Limits.MaxBodyBytes, UploadTimeout: time.Duration(settings.Limits.UploadTimeout), WriteTimeout: time.Duration(settings.Limits.WriteTimeout),
	}
	core.Drainer.Busy = r.Busy
	return r
}

func newAdministrator(settings *loader.Settings, core *composer.Node, metrics *counter.Counter, rations *rationer.Rationer) *administrator.Administrator {
	return &administrator.Administrator{Core: core, Credential: settings.Admin.Secret.Value, Metrics: metrics, Rationer: rations}
}

func newPeerServer(settings *loader.Settings, core *composer.Node, pool dragonflypass.Pool, meter dragonflypass.Meter) *messenger.Server {
	s := messenger.NewServer()
	s.Credential, s.Pool, s.Meter, s.Handler = settings.Peers.Secret.Value, pool, meter, core.Handler()
	return s
}

// newServer returns an HTTP server with limits on the size of headers and on the time that clients may take.
func newServer(settings *loader.Settings, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: time.Duration(settings.Limits.HeaderTimeout), IdleTimeout: time.Duration(settings.Limits.IdleTimeout),
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	acceptor.Attach(server)
	return server
}

// withHealthChecks adds the health checks to the handler for callers, because the platform's load balancer probes that port.
func withHealthChecks(admin *administrator.Administrator, callers http.Handler) http.Handler {
	router := mux.NewRouter()
	admin.AddHealthChecks(router)
	router.PathPrefix("/").Handler(callers)
	return router
}

// loadTLS returns the configuration for mutual TLS between entry VMs, with the certificates from the files.
func loadTLS(files *loader.TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: read the certificate")
	}
	authorityPEM, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, eris.Wrap(err, "assembler: read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, eris.New("assembler: the file of the certificate authority has no certificate")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}
