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
	"sync/atomic"
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

// fakePeer is the peer handler on the other side of the connection; it records what it receives.
type fakePeer struct {
	mutex           sync.Mutex
	outcome         error
	withholdOutcome bool
	acquires        chan dragonflypass.StreamID
	withdrawals     chan dragonflypass.StreamID
	releases        chan dragonflypass.PermitRelease
	crashes         chan dragonflypass.ServerCrash
	heartbeats      chan dragonflypass.Heartbeat
}

func newFakePeer() *fakePeer {
	return &fakePeer{
		acquires:    make(chan dragonflypass.StreamID, 10),
		withdrawals: make(chan dragonflypass.StreamID, 10), releases: make(chan dragonflypass.PermitRelease, 10),
		crashes: make(chan dragonflypass.ServerCrash, 10), heartbeats: make(chan dragonflypass.Heartbeat, 10),
	}
}

func (p *fakePeer) Acquire(request dragonflypass.PermitRequest, done func(dragonflypass.Permit, error)) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.acquires <- request.Stream
	if !p.withholdOutcome {
		done(permit(request), p.outcome)
	}
	return func() { p.withdrawals <- request.Stream }
}

func permit(request dragonflypass.PermitRequest) dragonflypass.Permit {
	return dragonflypass.Permit{Stream: request.Stream, Owner: "vm-2", Server: "server-1", Address: netip.MustParseAddrPort("127.0.0.1:9"), Priority: 5}
}

func (p *fakePeer) Release(release dragonflypass.PermitRelease) { p.releases <- release }

func (p *fakePeer) ExchangeHeartbeat(hb dragonflypass.Heartbeat) dragonflypass.Heartbeat {
	p.heartbeats <- hb
	return hb
}

func (p *fakePeer) ConfigEntries(from dragonflypass.Offset) dragonflypass.LogPage {
	change := dragonflypass.Change{ID: "c", Author: "a", At: time.Unix(5, 0).UTC()}
	return dragonflypass.LogPage{FirstOffset: from, NextOffset: from + 1, Entries: []dragonflypass.LogEntry{{Offset: from, At: time.Unix(6, 0), Record: dragonflypass.LogRecord{Change: &change}}}}
}

func (p *fakePeer) Prefilled(dragonflypass.StreamID) {}

func (p *fakePeer) ReportCrash(crash dragonflypass.ServerCrash) { p.crashes <- crash }

// connect starts a server for the peer and returns a client and the server's VM.
func connect(t *testing.T, peer *fakePeer, tlsConfig *tls.Config) (*messenger.Client, dragonflypass.VM) {
	t.Helper()
	client, vm, _ := connectPool(t, peer, tlsConfig)
	return client, vm
}

// connectPool starts a server for the peer and returns a client, the server's VM and the server's pool.
func connectPool(t *testing.T, peer dragonflypass.PeerHandler, tlsConfig *tls.Config) (*messenger.Client, dragonflypass.VM, *worker.Pool) {
	t.Helper()
	client, server, vm := connectServer(t, peer, tlsConfig)
	return client, vm, server.Pool.(*worker.Pool)
}

// connectServer starts a server for the peer and returns a client, the server and its VM.
func connectServer(t *testing.T, peer dragonflypass.PeerHandler, tlsConfig *tls.Config) (*messenger.Client, *messenger.Server, dragonflypass.VM) {
	t.Helper()
	meter := fake.NewMeter()
	pool := &worker.Pool{Workers: 4, QueueLimit: 1000, Meter: meter}
	ctx, cancel := context.WithCancel(context.Background())
	go pool.Run(ctx)
	server := messenger.NewServer()
	server.Credential, server.Handler, server.Pool, server.Meter = credential, peer, pool, meter
	listener := httptest.NewUnstartedServer(server)
	if tlsConfig != nil {
		listener.TLS = tlsConfig
		listener.StartTLS()
	} else {
		listener.Start()
	}
	client := messenger.NewClient()
	client.Credential, client.Meter, client.TLS = credential, meter, tlsConfig
	t.Cleanup(func() {
		client.Close()
		server.Close()
		listener.Close()
		cancel()
	})
	return client, server, dragonflypass.VM{ID: "vm-2", Peer: netip.MustParseAddrPort(listener.Listener.Addr().String())}
}

func request() dragonflypass.PermitRequest {
	return dragonflypass.PermitRequest{
		Stream: dragonflypass.StreamID{VM: "vm-1", Incarnation: 3, Sequence: 4}, Account: "a", Weight: 2, Model: "m", Rank: dragonflypass.RankBulk,
		PromptTokens: 10, OutputTokens: 20, Deadline: time.Unix(7, 8), ExcludedServers: []dragonflypass.ServerID{"server-9"},
	}
}

func TestAcquire(t *testing.T) {
	c := qt.New(t)
	peer := newFakePeer()
	client, vm := connect(t, peer, nil)
	got, err := client.Acquire(t.Context(), vm, request())
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), permit(request()))

	peer.outcome = dragonflypass.Refuse(dragonflypass.ReasonBusy, time.Second, "full")
	_, err = client.Acquire(t.Context(), vm, request())
	refusal, ok := dragonflypass.AsRefusal(err)
	c.Assert(ok, qt.IsTrue)
	c.Check(*refusal, qt.Equals, dragonflypass.Refusal{Reason: dragonflypass.ReasonBusy, Executed: dragonflypass.ExecutedNo, RetryAfter: time.Second, Detail: "full"})
}

func TestAcquireIsWithdrawnOnTimeout(t *testing.T) {
	c := qt.New(t)
	peer := newFakePeer()
	peer.withholdOutcome = true
	client, vm := connect(t, peer, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Acquire(ctx, vm, request())
	c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Check(<-peer.withdrawals, qt.Equals, request().Stream)
}

// TestPendingRequestsEndWithConnection checks that a waiting permit request ends on both sides when its connection
// breaks.
func TestPendingRequestsEndWithConnection(t *testing.T) {
	c := qt.New(t)
	peer := newFakePeer()
	peer.withholdOutcome = true
	client, vm := connect(t, peer, nil)
	errs := make(chan error, 1)
	go func() {
		_, err := client.Acquire(context.Background(), vm, request())
		errs <- err
	}()
	_, err := client.ExchangeHeartbeat(t.Context(), vm, dragonflypass.Heartbeat{From: vm})
	c.Assert(err, qt.IsNil)
	// Wait until the request has arrived. If it were sent after the disconnection, it would use a new connection, which
	// does not break.
	c.Check(<-peer.acquires, qt.Equals, request().Stream)
	client.Disconnect(vm.Peer)
	c.Check(<-errs, qt.ErrorIs, dragonflypass.ErrUncertain)
	c.Check(<-peer.withdrawals, qt.Equals, request().Stream)
	peer.mutex.Lock()
	peer.withholdOutcome = false
	peer.mutex.Unlock()
	_, err = client.Acquire(t.Context(), vm, request())
	c.Check(err, qt.IsNil)
}

func TestMessagesRoundTrip(t *testing.T) {
	c := qt.New(t)
	peer := newFakePeer()
	client, vm := connect(t, peer, nil)
	sent := dragonflypass.Heartbeat{
		From: vm, Incarnation: 9, ConfigOffset: 10, GrantedStreams: []uint64{3, 5, 900},
		Loads: []dragonflypass.ServerLoad{{Server: "s", Free: 5, Streams: 6, Wait: [dragonflypass.ClassCount]time.Duration{time.Second, 2, 3, time.Hour}, NextMaintenance: time.Unix(99, 0)}},
		InheritedStreams: []dragonflypass.OpenStream{{
			Stream: request().Stream, Server: "s", Tokens: 7, Rank: 1, Account: "a", Deadline: time.Now().Add(time.Hour),
			Service: "models", MaxEventGap: time.Second, PromptTokens: 5, Prefilled: true, Helpers: []dragonflypass.ServerID{"t"}, Parts: []dragonflypass.SharedPart{"p"},
		}},
		Watermarks: []dragonflypass.Watermark{{
			Topic: dragonflypass.TopicServers, Era: 3, Version: 7, EndOffset: 12, Loaded: true, Staleness: time.Second, FullSnapshot: true,
			Updates: []dragonflypass.Update{{Key: "s", Offset: 11, Raw: []byte("{}")}},
		}},
		Parts: []dragonflypass.PartStatus{
			{Model: "m", Part: "p", Required: []dragonflypass.SharedPart{"o", "p"}, Accounts: []dragonflypass.AccountID{"a"}, Quarantines: 2, LastCrash: time.Now().Add(-time.Hour), QuarantinedUntil: time.Now().Add(time.Hour)},
			{Model: "m", Part: "q", BegunAt: time.Now().Add(-time.Hour)},
		},
		Requests: []dragonflypass.RequestStatus{
			{Fingerprint: dragonflypass.Fingerprint{Account: "a", Model: "m", Body: dragonflypass.Digest{1}}, Crashes: []dragonflypass.CrashID{{Server: "s", Epoch: 4}}, LastCrash: time.Now().Add(-time.Hour)},
			{Fingerprint: dragonflypass.Fingerprint{Account: "b"}, CompletedAt: time.Now().Add(-time.Hour)},
		},
		Costs: []dragonflypass.CostReport{{
			Key:  dragonflypass.CostKey{Level: dragonflypass.CostOfPart, Service: "s", Route: "r", Class: dragonflypass.ClassLong, Account: "a", Part: "p"},
			Time: time.Second, TimeSpread: time.Millisecond, TimeCount: 2, Output: 3, OutputSpread: 4, OutputCount: 5,
		}},
		Paces: []dragonflypass.PaceReport{{Server: "s", Service: "x", Zone: "z", StartedAt: 7, Mean: 1.5, Count: 2}},
	}
	got, err := client.ExchangeHeartbeat(t.Context(), vm, sent)
	c.Assert(err, qt.IsNil)
	c.Check(got.GrantedStreams, qt.DeepEquals, sent.GrantedStreams)
	// The deadline is sent as the time remaining, because the clocks of two VMs differ.
	c.Check(got.InheritedStreams, qt.CmpEquals(cmpopts.EquateApproxTime(time.Minute)), sent.InheritedStreams)
	c.Check(got.Watermarks, qt.DeepEquals, sent.Watermarks)
	c.Check(got.Costs, qt.DeepEquals, sent.Costs)
	c.Check(got.Paces, qt.DeepEquals, sent.Paces)
	c.Check(got.Parts, qt.CmpEquals(cmpopts.EquateApproxTime(time.Minute)), sent.Parts)
	c.Check(got.Requests, qt.CmpEquals(cmpopts.EquateApproxTime(time.Minute)), sent.Requests)
	c.Check(got.Loads[0].Wait, qt.Equals, [dragonflypass.ClassCount]time.Duration{time.Second, 0, 0, time.Hour})
	page, err := client.ConfigEntries(t.Context(), vm, 12)
	c.Assert(err, qt.IsNil)
	c.Check(page.Entries[0].Record.Change.ID, qt.Equals, "c")
	release := dragonflypass.PermitRelease{Stream: request().Stream, Server: "s", OutputTokens: 5, Outcome: dragonflypass.OutcomeLost, Leaving: []dragonflypass.ServerID{"s", "t"}}
	c.Assert(client.Release(t.Context(), vm, release), qt.IsNil)
	c.Check(<-peer.releases, qt.DeepEquals, release)
	print := dragonflypass.Fingerprint{Account: "a", Model: "m", Body: dragonflypass.Digest{1}}
	crash := dragonflypass.ServerCrash{
		Server: "s", Epoch: 4, Fingerprints: []dragonflypass.Fingerprint{print}, At: time.Now().Add(-time.Hour),
		Suspects: []dragonflypass.CrashSuspect{{Fingerprint: print, Parts: []dragonflypass.SharedPart{"p", "q"}, SentAt: time.Now().Add(-2 * time.Hour)}},
	}
	c.Assert(client.ReportCrash(t.Context(), vm, crash), qt.IsNil)
	// Times are sent as ages, because the clocks of two VMs differ.
	c.Check(<-peer.crashes, qt.CmpEquals(cmpopts.EquateApproxTime(time.Minute)), crash)
}

func TestConnectFailsWhenRefusedOrUnauthorized(t *testing.T) {
	c := qt.New(t)
	client, vm := connect(t, newFakePeer(), nil)
	// Nothing listens on port 1: the refused connection is reported as ErrRefused, not as ErrUnavailable.
	_, err := client.ExchangeHeartbeat(t.Context(), dragonflypass.VM{Peer: netip.MustParseAddrPort("127.0.0.1:1")}, dragonflypass.Heartbeat{})
	c.Check(err, qt.ErrorIs, dragonflypass.ErrRefused)
	client.Credential = "wrong"
	_, err = client.ExchangeHeartbeat(t.Context(), vm, dragonflypass.Heartbeat{From: vm})
	c.Check(err, qt.ErrorIs, dragonflypass.ErrUnavailable)
}

// TestMutualTLS checks that the server accepts only clients whose certificate is signed by the configured authority.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	tlsConfig := newTLSConfig(c)
	peer := newFakePeer()
	client, vm := connect(t, peer, tlsConfig)
	_, err := client.Acquire(t.Context(), vm, request())
	c.Assert(err, qt.IsNil)
	clientWithoutCertificate := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: tlsConfig.RootCAs}}}
	_, err = clientWithoutCertificate.Get("https://" + vm.Peer.String() + "/peer")
	c.Check(err, qt.ErrorMatches, ".*certificate required.*")
}

func newTLSConfig(c *qt.C) *tls.Config {
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

// countingPeer counts the crash reports that it receives.
type countingPeer struct {
	*fakePeer
	reports sync.WaitGroup
}

func (p *countingPeer) ReportCrash(dragonflypass.ServerCrash) { p.reports.Done() }

// TestVMsThatReportCrashesDoNotBlockEachOther lets all workers of two VMs report crashes to the other VM at the same time.
func TestVMsThatReportCrashesDoNotBlockEachOther(t *testing.T) {
	c := qt.New(t)
	const reports = 200
	// limit is much longer than the reports take, and shorter than a second for each of them.
	const limit = 10 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	peers := [2]*countingPeer{{fakePeer: newFakePeer()}, {fakePeer: newFakePeer()}}
	var clients [2]*messenger.Client
	var pools [2]*worker.Pool
	var vms [2]dragonflypass.VM
	for i := range vms {
		clients[i], vms[i], pools[i] = connectPool(t, peers[i], nil)
	}
	var failed atomic.Int64
	var sent sync.WaitGroup
	for range reports {
		for i := range vms {
			sent.Add(1)
			peers[i].reports.Add(1)
			// The client of a VM sends to the server of that VM, so the jobs of the other VM's workers call it.
			accepted := pools[1-i].Submit(dragonflypass.JobPeer, func(context.Context) {
				defer sent.Done()
				if clients[i].ReportCrash(ctx, vms[i], dragonflypass.ServerCrash{Server: "s"}) != nil {
					failed.Add(1)
				}
			})
			c.Assert(accepted, qt.IsTrue)
		}
	}
	sent.Wait()
	c.Assert(failed.Load(), qt.Equals, int64(0))
	for i := range peers {
		peers[i].reports.Wait()
	}
}
