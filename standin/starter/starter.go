package starter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/administrator"
	"github.com/dragonflypass/dragonflypass/adapter/assembler"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
	"github.com/dragonflypass/dragonflypass/adapter/lister"
	"github.com/dragonflypass/dragonflypass/adapter/loader"
	"github.com/dragonflypass/dragonflypass/standin/generator"
	"github.com/dragonflypass/dragonflypass/standin/keeper"
	"github.com/dragonflypass/dragonflypass/standin/recorder"
)

// The names, credentials and timeouts of a site. Every client account may use Model and the service ServiceName, which has
// a route for confirmations.
const (
	Model = "small"
	// PrivateModel is a model that no client account may use.
	PrivateModel      = "private"
	ServiceName       = "pairing"
	adminSecret       = "site-admin-secret"
	peerSecret        = "site-peers-secret"
	headerTimeout     = 5 * time.Second
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Keys are the bearer keys of the site's client accounts, one account for each rank.
var Keys = [dragonflypass.RankCount]string{"urgent-key", "normal-key", "bulk-key"}

// Site is a running site; its exported fields are set before Start.
type Site struct {
	// Nodes and Servers are the numbers of entry VMs and backend servers, spread over zones a, b and c.
	Nodes   int
	Servers int
	// KVCapacity is the KV memory of each server in tokens.
	KVCapacity int
	// PrefillRate and DecodeRate are the rates of each server in tokens per second; DecodeRate is for one stream.
	PrefillRate float64
	DecodeRate  float64
	// Slots is the largest number of streams in one batch of a server.
	Slots int
	// Output receives the log lines of the entry VMs.
	Output io.Writer

	// The running components; Start sets them.
	Platform *keeper.Keeper
	Service  *recorder.Recorder
	Engines  []*generator.Engine
	VMs      []*assembler.Node

	platformAddress netip.AddrPort
	serviceAddress  netip.AddrPort
	serverAddresses []netip.AddrPort
	apps            []*fx.App
	httpServers     []*http.Server
	wg              sync.WaitGroup
	cancel          context.CancelFunc
}

// Zone returns the availability zone of the entry VM or backend server with the index.
func Zone(i int) string { return []string{"a", "b", "c"}[i%3] }

// Start starts the site and waits until every entry VM is ready, at most readyTimeout. After an error the site is only
// partly started.
func (s *Site) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.Platform = keeper.New(24 * time.Hour)
	s.Service = recorder.New()
	var err error
	if s.platformAddress, err = s.serve(s.Platform.Handler()); err != nil {
		return err
	}
	if s.serviceAddress, err = s.serve(s.Service.Handler()); err != nil {
		return err
	}
	if err := s.startServers(ctx); err != nil {
		return err
	}
	for i := range s.Nodes {
		if err := s.startNode(ctx, i); err != nil {
			return err
		}
	}
	s.publishVMs()
	if err := s.configure(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// serve starts an HTTP server on a free port and returns its address.
func (s *Site) serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.httpServers = append(s.httpServers, server)
	s.wg.Go(func() { _ = server.Serve(listener) })
	return netip.ParseAddrPort(listener.Addr().String())
}

func (s *Site) startServers(ctx context.Context) error {
	for i := range s.Servers {
		e := generator.New(dragonflypass.ServerID(fmt.Sprintf("server-%d", i+1)))
		e.Models = []dragonflypass.ModelID{Model}
		e.KVCapacity, e.Slots, e.PrefillRate, e.DecodeRate = s.KVCapacity, s.Slots, s.PrefillRate, s.DecodeRate
		e.Fetch, e.Copy = generator.FetchHTTP, generator.CopyHTTP
		s.wg.Go(func() { e.Run(ctx) })
		address, err := s.serve(e.Handler())
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.serverAddresses = append(s.serverAddresses, address)
	}
	return nil
}

func (s *Site) startNode(ctx context.Context, i int) error {
	settings, err := loader.Parse(fmt.Appendf(nil, `{
		"name": "vm-%d", "zone": %q,
		"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"platform": {"address": %q}, "peers": {"secret": {"value": %q}}, "admin": {"secret": {"value": %q}},
		"limits": {"write": "2s"}, "times": {"list": "500ms", "drain": "10s"}
	}`, i+1, Zone(i), s.platformAddress, peerSecret, adminSecret))
	if err != nil {
		return err
	}
	var node *assembler.Node
	app := fx.New(assembler.Module(settings, s.Output), fx.Populate(&node))
	if err := app.Start(ctx); err != nil {
		return err
	}
	s.apps = append(s.apps, app)
	s.VMs = append(s.VMs, node)
	return nil
}

// publishVMs sets the platform's list of VMs to the entry VMs.
func (s *Site) publishVMs() {
	var list lister.List
	for i, node := range s.VMs {
		list.VMs = append(list.VMs, lister.VM{ID: node.Settings.Name, Zone: Zone(i), Address: node.Listeners.PeerAddress()})
	}
	s.Platform.SetVMs(list)
}

// configure submits the site's configuration to the first entry VM.
func (s *Site) configure(ctx context.Context) error {
	change := encoder.Change{ID: "first", Author: "site", At: time.Now()}
	add := func(section dragonflypass.Section, name string, item encoder.Item) {
		change.Edits = append(change.Edits, encoder.Edit{Key: encoder.Key{Section: string(section), Name: name}, Item: &item})
	}
	const modelLimit = 1_000_000
	add(dragonflypass.SectionModel, Model, encoder.Item{Model: &encoder.Model{ID: Model, Version: "1", Limit: modelLimit}})
	add(dragonflypass.SectionModel, PrivateModel, encoder.Item{Model: &encoder.Model{ID: PrivateModel, Version: "1", Limit: modelLimit}})
	for i, e := range s.Engines {
		add(dragonflypass.SectionServer, string(e.ID), encoder.Item{Server: &encoder.Server{
			ID: string(e.ID), Zone: Zone(i), Address: s.serverAddresses[i], Models: []string{Model},
			Memory: s.KVCapacity, Slots: s.Slots, Prefill: s.PrefillRate, Decode: s.DecodeRate,
		}})
	}
	add(dragonflypass.SectionService, ServiceName, encoder.Item{Service: &encoder.Service{
		ID: ServiceName, Rank: "urgent", Remember: encoder.Duration(72 * time.Hour),
		Endpoints: []encoder.Endpoint{{Address: s.serviceAddress, Zone: "a"}},
		Once:      []encoder.Route{{Method: http.MethodPost, Prefix: "/confirmations"}},
	}})
	for rank, key := range Keys {
		name := dragonflypass.Rank(rank).String()
		add(dragonflypass.SectionAccount, name, encoder.Item{Account: &encoder.Account{
			ID: name, Keys: []encoder.Hash{encoder.Hash(sha256.Sum256([]byte(key)))},
			Models: []string{Model}, Services: []string{ServiceName}, Rank: name, Weight: 1,
		}})
	}
	return s.post(ctx, "/config/changes", change)
}

func (s *Site) post(ctx context.Context, path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.VMs[0].Listeners.AdminAddress().String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+adminSecret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		var failure administrator.Failure
		_ = json.NewDecoder(response.Body).Decode(&failure)
		return fmt.Errorf("%s: %s %v", response.Status, failure.Detail, failure.Faults)
	}
	return nil
}

// awaitReady waits until every entry VM is ready and has the load summary of every server.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("the site was not ready after %s", readyTimeout)
		}
	}
	return nil
}

func (s *Site) ready() bool {
	for _, node := range s.VMs {
		serverCount := len(node.Core.Scheduler.Loads())
		for _, member := range node.Core.Detector.Others() {
			serverCount += len(member.Loads)
		}
		if serverCount < s.Servers || !node.Core.Ready() {
			return false
		}
	}
	return true
}

// CallerAddress returns the address at which the entry VM with the index serves callers.
func (s *Site) CallerAddress(i int) netip.AddrPort { return s.VMs[i].Listeners.CallerAddress() }

// AdminAddress returns the address at which the entry VM with the index serves operators.
func (s *Site) AdminAddress(i int) netip.AddrPort { return s.VMs[i].Listeners.AdminAddress() }

// AdminSecret returns the operators' credential.
func (s *Site) AdminSecret() string { return adminSecret }

// Stop shuts the entry VMs down gracefully, then stops the stand-ins.
func (s *Site) Stop(ctx context.Context) {
	var wg sync.WaitGroup
	for _, app := range s.apps {
		wg.Go(func() { _ = app.Stop(ctx) })
	}
	wg.Wait()
	for _, server := range s.httpServers {
		_ = server.Close()
	}
	s.cancel()
	s.wg.Wait()
}

// KeyHash returns the SHA-256 hash of a bearer key in hexadecimal digits.
func KeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
