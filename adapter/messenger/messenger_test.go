package messenger_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/core/worker"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

const credential = "peers-secret"

// answerer is the other side of the connection.
type answerer struct {
	mutex     sync.Mutex
	outcome   error
	hold      bool
	asked     chan dragonflypass.StreamID
	withdrawn chan dragonflypass.StreamID
	released  chan dragonflypass.PermitRelease
	crashes   chan dragonflypass.ServerCrash
	heard     chan dragonflypass.Heartbeat
}

func newAnswerer() *answerer {
	return &answerer{
		asked:     make(chan dragonflypass.StreamID, 10),
		withdrawn: make(chan dragonflypass.StreamID, 10), released: make(chan dragonflypass.PermitRelease, 10),
		crashes: make(chan dragonflypass.ServerCrash, 10), heard: make(chan dragonflypass.Heartbeat, 10),
	}
}

func (a *answerer) Acquire(request dragonflypass.PermitRequest, told func(dragonflypass.Permit, error)) func() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.asked <- request.Stream
	if !a.hold {
		told(permit(request), a.outcome)
	}
	return func() { a.withdrawn <- request.Stream }
}

func permit(request dragonflypass.PermitRequest) dragonflypass.Permit {
	return dragonflypass.Permit{Stream: request.Stream, Owner: "vm-2", Server: "server-1", Address: netip.MustParseAddrPort("127.0.0.1:9"), Priority: 5}
}

func (a *answerer) Release(release dragonflypass.PermitRelease) { a.released <- release }

func (a *answerer) ExchangeHeartbeat(beat dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	a.heard <- beat
	return beat
}

func (a *answerer) ConfigEntries(from dragonflypass.Offset) dragonflypass.LogPage {
	change := dragonflypass.Change{ID: "c", Author: "a", At: time.Unix(5, 0).UTC()}
	return dragonflypass.LogPage{FirstOffset: from, NextOffset: from + 1, Entries: []dragonflypass.LogEntry{{Offset: from, At: time.Unix(6, 0), Record: dragonflypass.LogRecord{Change: &change}}}}
}

func (a *answerer) Prefilled(dragonflypass.StreamID) {}

func (a *answerer) ReportCrash(crash dragonflypass.ServerCrash) { a.crashes <- crash }

// connect starts a server for the answerer and returns a client and the server's VM.
func connect(t *testing.T, a *answerer, certificates *tls.Config) (*messenger.Client, dragonflypass.VM) {
	t.Helper()
	meter := fake.NewMeter()
	pool := &worker.Pool{Workers: 4, QueueLimit: 100, Meter: meter}
	ctx, cancel := context.WithCancel(context.Background())
	go pool.Run(ctx)
	server := messenger.NewServer()
	server.Credential, server.Handler, server.Pool, server.Meter = credential, a, pool, meter
	listener := httptest.NewUnstartedServer(server)
	if certificates != nil {
		listener.TLS = certificates
		listener.StartTLS()
	} else {
		listener.Start()
	}
	client := messenger.NewClient()
	client.Credential, client.Meter, client.TLS = credential, meter, certificates
	t.Cleanup(func() {
		client.Close()
		server.Close()
		listener.Close()
		cancel()
	})
	return client, dragonflypass.VM{ID: "vm-2", Peer: netip.MustParseAddrPort(listener.Listener.Addr().String())}
}

func request() dragonflypass.PermitRequest {
	return dragonflypass.PermitRequest{
		Stream: dragonflypass.StreamID{VM: "vm-1", Incarnation: 3, Sequence: 4}, Account: "a", Weight: 2, Model: "m", Rank: dragonflypass.RankBulk,
		PromptTokens: 10, OutputTokens: 20, Deadline: time.Unix(7, 8), ExcludedServers: []dragonflypass.ServerID{"server-9"},
	}
}

func TestAcquire(t *testing.T) {
	c := qt.New(t)
	a := newAnswerer()
	client, vm := connect(t, a, nil)
	got, err := client.Acquire(t.Context(), vm, request())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), permit(request()))

	a.outcome = dragonflypass.Refuse(dragonflypass.ReasonBusy, time.Second, "full")
	_, err = client.Acquire(t.Context(), vm, request())
	refusal, ok := dragonflypass.AsRefusal(err)
	c.Assert(ok, qt.IsTrue)
	c.Check(*refusal, qt.Equals, dragonflypass.Refusal{Reason: dragonflypass.ReasonBusy, Executed: dragonflypass.ExecutedNo, RetryAfter: time.Second, Detail: "full"})
}

func TestWithdraw(t *testing.T) {
	c := qt.New(t)
	a := newAnswerer()
	a.hold = true
	client, vm := connect(t, a, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Acquire(ctx, vm, request())
	c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Check(<-a.withdrawn, qt.Equals, request().Stream)
}

// TestConnectionBreaks has waiting requests end on both sides when their connection breaks.
func TestConnectionBreaks(t *testing.T) {
	c := qt.New(t)
	a := newAnswerer()
	a.hold = true
	client, vm := connect(t, a, nil)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Acquire(context.Background(), vm, request())
		failed <- err
	}()
	_, err := client.ExchangeHeartbeat(t.Context(), vm, dragonflypass.Heartbeat{From: vm})
	c.Assert(err, qt.IsNil)
	// A question that is sent only after the cut takes a new connection, which does not break.
	c.Check(<-a.asked, qt.Equals, request().Stream)
	client.Cut(vm.Peer)
	c.Check(<-failed, qt.ErrorIs, dragonflypass.ErrUncertain)
	c.Check(<-a.withdrawn, qt.Equals, request().Stream)
	a.mutex.Lock()
	a.hold = false
	a.mutex.Unlock()
	_, err = client.Acquire(t.Context(), vm, request())
	c.Check(err, qt.IsNil)
}

func TestOtherMessages(t *testing.T) {
	c := qt.New(t)
	a := newAnswerer()
	client, vm := connect(t, a, nil)
	beat := dragonflypass.Heartbeat{
		From: vm, Incarnation: 9, ConfigOffset: 10, GrantedStreams: []uint64{3, 5, 900},
		Loads: []dragonflypass.ServerLoad{{Server: "s", Free: 5, Streams: 6, Wait: [dragonflypass.ClassCount]time.Duration{time.Second, 2, 3, time.Hour}, NextMaintenance: time.Unix(99, 0)}},
		InheritedStreams: []dragonflypass.OpenStream{{
			Stream: request().Stream, Server: "s", Tokens: 7, Rank: 1, Account: "a", Deadline: time.Now().Add(time.Hour),
			Service: "models", MaxEventGap: time.Second, PromptTokens: 5, Prefilled: true, Helpers: []dragonflypass.ServerID{"t"},
		}},
		Watermarks: []dragonflypass.Watermark{{
			Topic: dragonflypass.TopicServers, EndOffset: 12, Loaded: true, Staleness: time.Second, FullSnapshot: true,
			Updates: []dragonflypass.Update{{Key: "s", Offset: 11, Raw: []byte("{}")}},
		}},
	}
	got, err := client.ExchangeHeartbeat(t.Context(), vm, beat)
	c.Assert(err, qt.IsNil)
	c.Check(got.GrantedStreams, qt.DeepEquals, beat.GrantedStreams)
	// The deadline travels as a time left, for the clocks of two VMs differ.
	c.Check(got.InheritedStreams, qt.CmpEquals(cmpopts.EquateApproxTime(time.Minute)), beat.InheritedStreams)
	c.Check(got.Watermarks, qt.DeepEquals, beat.Watermarks)
	c.Check(got.Loads[0].Wait, qt.Equals, [dragonflypass.ClassCount]time.Duration{time.Second, 0, 0, time.Hour})
	page, err := client.ConfigEntries(t.Context(), vm, 12)
	c.Assert(err, qt.IsNil)
	c.Check(page.Entries[0].Record.Change.ID, qt.Equals, "c")
	release := dragonflypass.PermitRelease{Stream: request().Stream, Server: "s", OutputTokens: 5, Outcome: dragonflypass.OutcomeLost}
	c.Assert(client.Release(t.Context(), vm, release), qt.IsNil)
	c.Check(<-a.released, qt.Equals, release)
	crash := dragonflypass.ServerCrash{Server: "s", Epoch: 4, Fingerprints: []dragonflypass.Fingerprint{{Account: "a", Model: "m", Body: dragonflypass.Digest{1}}}, At: time.Unix(4, 0)}
	c.Assert(client.ReportCrash(t.Context(), vm, crash), qt.IsNil)
	c.Check(<-a.crashes, qt.DeepEquals, crash)
}

func TestUnreachableAndWrongCredential(t *testing.T) {
	c := qt.New(t)
	client, vm := connect(t, newAnswerer(), nil)
	_, err := client.ExchangeHeartbeat(t.Context(), dragonflypass.VM{Peer: netip.MustParseAddrPort("127.0.0.1:1")}, dragonflypass.Heartbeat{})
	// Nothing listens there, which says more than that it could not be reached.
	c.Check(err, qt.ErrorIs, dragonflypass.ErrRefused)
	client.Credential = "wrong"
	_, err = client.ExchangeHeartbeat(t.Context(), vm, dragonflypass.Heartbeat{From: vm})
	c.Check(err, qt.ErrorIs, dragonflypass.ErrUnavailable)
}

// TestMutualTLS lets only a VM with the authority's certificate in.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	certificates := newCertificates(c)
	a := newAnswerer()
	client, vm := connect(t, a, certificates)
	_, err := client.Acquire(t.Context(), vm, request())
	c.Assert(err, qt.IsNil)
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: certificates.RootCAs}}}
	_, err = stranger.Get("https://" + vm.Peer.String() + "/peer")
	c.Check(err, qt.ErrorMatches, ".*certificate required.*")
}

func newCertificates(c *qt.C) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	parsed, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}
}
