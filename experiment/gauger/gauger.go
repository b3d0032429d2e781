package gauger

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
	"github.com/dragonflypass/dragonflypass/adapter/messenger"
	"github.com/dragonflypass/dragonflypass/adapter/streamer"
	"github.com/dragonflypass/dragonflypass/core/assigner"
	"github.com/dragonflypass/dragonflypass/core/claimer"
	"github.com/dragonflypass/dragonflypass/core/composer"
	"github.com/dragonflypass/dragonflypass/core/configurer"
	"github.com/dragonflypass/dragonflypass/internal/fake"
)

// Figure is one measured cost.
type Figure struct {
	Name string
	Size string
	// Time is the mean time per operation.
	Time time.Duration
	// Allocations is the number of allocations per operation.
	Allocations int64
	// Bytes is the size of a message or table, zero if it was not measured.
	Bytes int
}

// Measure measures each decision and message at its sizes and returns the figures in the order of the table.
func Measure() []Figure {
	var figures []Figure
	for _, vms := range []int{9, 68} {
		figures = append(figures, placement(vms))
	}
	for _, queued := range []int{100, 1_000, 10_000} {
		figures = append(figures, grant(queued))
	}
	for _, size := range []struct{ loads, openStreams int }{{3, 0}, {13, 0}, {13, 8}, {13, 500}} {
		figures = append(figures, heartbeat(size.loads, size.openStreams))
	}
	for _, size := range []struct{ accounts, servers int }{{10, 18}, {2_700, 5_400}} {
		figures = append(figures, change(size.accounts, size.servers), configuration(size.accounts, size.servers), assignment(size.servers))
	}
	for _, keys := range []int{1_000, 100_000} {
		figures = append(figures, claims(keys))
	}
	for _, streams := range []int{5, 53} {
		figures = append(figures, report(streams))
	}
	return append(figures, claimRecord(), changeRecord(), permitMessages())
}

// report measures encoding and decoding a server's report.
func report(streams int) Figure {
	r := dragonflypass.ServerReport{Server: server(0).ID, Epoch: 3, Used: 400_000, At: time.Now()}
	for i := range streams {
		id := dragonflypass.StreamID{VM: "vm-000", Incarnation: 1 << 60, Sequence: 1<<20 + uint64(i)}
		r.Streams = append(r.Streams, dragonflypass.StreamReport{Stream: id, Tokens: 4_000, Prefilled: true})
	}
	size := 0
	f := benchmark("one server's report encoded and decoded", fmt.Sprintf("%d streams", streams), func(b *testing.B) {
		for b.Loop() {
			data, err := json.Marshal(streamer.FromReport(r))
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
			var decoded streamer.Report
			if err := json.Unmarshal(data, &decoded); err != nil {
				b.Fatal(err)
			}
		}
	})
	f.Bytes = size
	return f
}

// permitMessages measures the size of the messages for one request between its entry VM and the owner.
func permitMessages() Figure {
	stream := dragonflypass.StreamID{VM: "vm-000", Incarnation: 1 << 60, Sequence: 1 << 20}
	now := time.Now()
	bytes := messenger.PermitBytes(
		dragonflypass.PermitRequest{
			Stream: stream, Account: "account-1000", Weight: 1, Model: model, PromptTokens: 4_000, OutputTokens: 500, ExpectedTokens: 200,
			Fingerprint: dragonflypass.Fingerprint{Account: "account-1000", Model: model}, Deadline: now, LatestStart: now, FirstTokenDeadline: now,
		},
		dragonflypass.Permit{Stream: stream, Owner: "vm-001", Server: "server-00001", Address: netip.MustParseAddrPort("10.0.0.1:8000")},
		dragonflypass.PermitRelease{Stream: stream, Server: "server-00001", OutputTokens: 200},
	)
	return Figure{Name: "permit asked for, granted and returned", Size: "4 messages", Bytes: bytes}
}

// Print writes the figures as a table.
func Print(out io.Writer, figures []Figure) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "what\tsize\ttime\tallocations\tbytes\t")
	for _, f := range figures {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t\n", f.Name, f.Size, f.Time, f.Allocations, f.Bytes)
	}
	_ = table.Flush()
}

func benchmark(name, size string, run func(b *testing.B)) Figure {
	result := testing.Benchmark(run)
	return Figure{Name: name, Size: size, Time: time.Duration(result.NsPerOp()), Allocations: result.AllocsPerOp()}
}

const model = dragonflypass.ModelID("model")

func server(i int) dragonflypass.BackendServer {
	return dragonflypass.BackendServer{
		ID: dragonflypass.ServerID(fmt.Sprintf("server-%05d", i)), Zone: "a", Models: []dragonflypass.ModelID{model},
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		KVCapacity: 420_000, Slots: 48, PrefillRate: 24_000, DecodeRate: 45,
	}
}

// configurationItems returns the items of a configuration with the given numbers of accounts and servers.
func configurationItems(accounts, servers int) []dragonflypass.VersionedItem {
	var items []dragonflypass.VersionedItem
	add := func(section dragonflypass.Section, name string, item dragonflypass.Item) {
		items = append(items, dragonflypass.VersionedItem{Key: dragonflypass.ItemKey{Section: section, Name: name}, Version: 1, Item: item})
	}
	for i := range 32 {
		id := model
		if i > 0 {
			id = dragonflypass.ModelID(fmt.Sprintf("model-%d", i))
		}
		add(dragonflypass.SectionModel, string(id), dragonflypass.Item{Model: &dragonflypass.Model{ID: id, Limit: 1_000_000}})
	}
	for i := range servers {
		s := server(i)
		add(dragonflypass.SectionServer, string(s.ID), dragonflypass.Item{Server: &s})
	}
	for i := range accounts {
		id := dragonflypass.AccountID(fmt.Sprintf("account-%d", i))
		add(dragonflypass.SectionAccount, string(id), dragonflypass.Item{Account: &dragonflypass.ClientAccount{
			ID: id, Keys: []dragonflypass.Digest{{byte(i), byte(i >> 8)}}, Models: []dragonflypass.ModelID{model}, Weight: 1,
		}})
	}
	return items
}

// newNode returns the scheduling part of a VM that owns the first 13 servers.
func newNode(clock *fake.Clock) *composer.Node {
	const owned = 13
	vm := dragonflypass.VM{ID: "vm-0", Zone: "a"}
	n := composer.Compose(composer.Defaults(vm, 1), composer.Ports{Timer: clock, Pool: clock, Meter: fake.NewMeter(), Logger: fake.Logger{}})
	current := dragonflypass.NewConfiguration(1, configurationItems(2_700, 900))
	n.Scheduler.Current = func() *dragonflypass.Configuration { return current }
	n.Dispatcher.Current = n.Scheduler.Current
	n.Scheduler.StreamBroken = func(dragonflypass.ServerID) {}
	var servers []dragonflypass.BackendServer
	for i := range owned {
		servers = append(servers, server(i))
	}
	n.Scheduler.SetOwned(servers)
	for _, s := range servers {
		n.Scheduler.HandleReport(dragonflypass.ServerReport{Server: s.ID, Epoch: 1})
	}
	return n
}

// zoneMembers holds the other VMs of a zone, with 13 servers each.
type zoneMembers struct {
	members []dragonflypass.Member
}

// Others returns the other VMs.
func (m zoneMembers) Others() []dragonflypass.Member { return m.members }

// AliveContext returns the context unchanged.
func (m zoneMembers) AliveContext(ctx context.Context, _ dragonflypass.VMID) (context.Context, context.CancelFunc) {
	return ctx, func() {}
}

func serverLoads(first, count int) []dragonflypass.ServerLoad {
	var summaries []dragonflypass.ServerLoad
	for i := range count {
		summaries = append(summaries, dragonflypass.ServerLoad{
			Server: server(first + i).ID, Free: 200_000, Streams: 20,
			Wait: [dragonflypass.ClassCount]time.Duration{time.Duration(i) * time.Millisecond, 1, 2, 3},
		})
	}
	return summaries
}

// placement measures ranking the owners in a zone of the given number of VMs for one request.
func placement(vms int) Figure {
	clock := fake.NewClock(time.Now())
	n := newNode(clock)
	var others zoneMembers
	for i := range vms - 1 {
		vm := dragonflypass.VM{ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i+1)), Zone: "a"}
		others.members = append(others.members, dragonflypass.Member{VM: vm, State: dragonflypass.MemberLive, LastHeartbeat: clock.Now(), Loads: serverLoads(13*(i+1)%880, 13)})
	}
	n.Dispatcher.Members = others
	request := &dragonflypass.PermitRequest{Model: model, PromptTokens: 2_000, OutputTokens: 200}
	return benchmark("placement among a zone's digests", fmt.Sprintf("%d VMs, 13 servers each", vms), func(b *testing.B) {
		for b.Loop() {
			request.Fingerprint.Body[0]++
			n.Dispatcher.RankOwners(request)
		}
	})
}

// grant measures queueing a request, granting a permit and releasing one, at an owner of 13 servers with the given number
// of queued requests.
func grant(queued int) Figure {
	clock := fake.NewClock(time.Now())
	n := newNode(clock)
	sequence := uint64(0)
	request := func() dragonflypass.PermitRequest {
		sequence++
		return dragonflypass.PermitRequest{
			Stream:  dragonflypass.StreamID{VM: "vm-1", Sequence: sequence},
			Account: dragonflypass.AccountID(fmt.Sprintf("account-%d", sequence%2_700)), Weight: 1, Model: model,
			Rank: dragonflypass.Rank(sequence % 3), PromptTokens: 12_000, OutputTokens: 200, ExpectedTokens: 100,
			Fingerprint: dragonflypass.Fingerprint{Body: dragonflypass.Digest{byte(sequence), byte(sequence >> 8), byte(sequence >> 16), byte(sequence >> 24)}},
			Deadline:    clock.Now().Add(24 * time.Hour), LatestStart: clock.Now().Add(24 * time.Hour), FirstTokenDeadline: clock.Now().Add(time.Duration(sequence) * time.Millisecond),
		}
	}
	var granted []dragonflypass.Permit
	enqueue := func() {
		n.Scheduler.Enqueue(&dragonflypass.QueuedRequest{Request: request(), QueuedAt: clock.Now(), Done: func(p dragonflypass.Permit, err error) {
			if err == nil {
				granted = append(granted, p)
			}
		}})
	}
	for n.Scheduler.State().QueuedRequests < queued {
		enqueue()
	}
	return benchmark("one request queued, granted and taken back", fmt.Sprintf("%d queued, 13 servers, 2700 accounts", queued), func(b *testing.B) {
		for b.Loop() {
			enqueue()
			if len(granted) > 0 {
				p := granted[0]
				granted = granted[1:]
				n.Scheduler.Release(dragonflypass.PermitRelease{Stream: p.Stream, Server: p.Server, OutputTokens: 100})
			}
			clock.Run(clock.Now().Add(time.Second / 26))
		}
	})
}

// heartbeat measures encoding and decoding one heartbeat.
func heartbeat(servers, openStreams int) Figure {
	message := dragonflypass.Heartbeat{
		From: dragonflypass.VM{ID: "vm-000", Zone: "zone-a", Peer: netip.MustParseAddrPort("10.0.0.1:8081")}, Incarnation: 1 << 60, ConfigOffset: 1 << 20,
		Loads: serverLoads(0, servers),
	}
	for i := range openStreams {
		message.GrantedStreams = append(message.GrantedStreams, uint64(i)*50+1<<20)
	}
	size := 0
	f := benchmark("one heartbeat encoded and decoded", fmt.Sprintf("%d servers, %d open streams", servers, openStreams), func(b *testing.B) {
		for b.Loop() {
			size = messenger.Transcode(message)
		}
	})
	f.Bytes = size
	return f
}

// change measures applying one change to the state machine and building the new configuration.
func change(accounts, servers int) Figure {
	state := configurer.NewStateMachine()
	items := configurationItems(accounts, servers)
	state.Apply([]dragonflypass.LogEntry{{Offset: 2, Record: dragonflypass.LogRecord{Snapshot: &dragonflypass.Snapshot{Offset: 1, Items: items}}}})
	offset := state.Offset()
	key := dragonflypass.ItemKey{Section: dragonflypass.SectionModel, Name: string(model)}
	baseVersion := dragonflypass.Offset(1)
	return benchmark("one configuration change applied", fmt.Sprintf("%d accounts, %d servers", accounts, servers), func(b *testing.B) {
		for b.Loop() {
			offset++
			item := dragonflypass.Item{Model: &dragonflypass.Model{ID: model, Version: fmt.Sprint(offset), Limit: 1}}
			state.Apply([]dragonflypass.LogEntry{{Offset: offset, Record: dragonflypass.LogRecord{Change: &dragonflypass.Change{
				ID: fmt.Sprint(offset), Edits: []dragonflypass.Edit{{Key: key, BaseVersion: baseVersion, Item: &item}},
			}}}})
			baseVersion = offset
			dragonflypass.NewConfiguration(offset, state.Items())
		}
	})
}

// configuration measures the size of a configuration in memory and as a snapshot.
func configuration(accounts, servers int) Figure {
	heapBefore := heapBytes()
	items := configurationItems(accounts, servers)
	current := dragonflypass.NewConfiguration(1, items)
	heapAfter := heapBytes()
	data, err := encoder.Encode(dragonflypass.LogRecord{Snapshot: &dragonflypass.Snapshot{Offset: 1, Items: items}})
	if err != nil {
		panic(err)
	}
	runtime.KeepAlive(current)
	return Figure{Name: "configuration in memory", Size: fmt.Sprintf("%d accounts, %d servers, snapshot of %d bytes", accounts, servers, len(data)), Bytes: heapAfter - heapBefore}
}

// assignment measures computing the owners of all servers among 68 VMs.
func assignment(servers int) Figure {
	current := dragonflypass.NewConfiguration(1, configurationItems(1, servers))
	var live []dragonflypass.VM
	for i := range 68 {
		live = append(live, dragonflypass.VM{ID: dragonflypass.VMID(fmt.Sprintf("vm-%d", i)), Zone: "a"})
	}
	a := assigner.New()
	a.Self, a.SetOwned = "vm-0", func([]dragonflypass.BackendServer) {}
	a.Live = func() []dragonflypass.VM { return live }
	a.Current = func() *dragonflypass.Configuration { return current }
	return benchmark("owners worked out among 68 VMs", fmt.Sprintf("%d servers", servers), func(b *testing.B) {
		for b.Loop() {
			a.Assign()
		}
	})
}

// claims measures the time to apply a claim with its outcome, and the memory that all claims take.
func claims(keys int) Figure {
	heapBefore := heapBytes()
	state := claimer.NewStateMachine(24*time.Hour, 72*time.Hour)
	at := time.Now()
	start := time.Now()
	for i := range keys {
		key := dragonflypass.ClaimKey{Account: "account-1000", Service: "booking", Key: dragonflypass.Digest{byte(i), byte(i >> 8), byte(i >> 16)}}
		nonce := dragonflypass.Nonce{byte(i), byte(i >> 8), byte(i >> 16)}
		state.Apply(dragonflypass.LogEntry{Offset: dragonflypass.Offset(2*i + 1), At: at, Record: dragonflypass.LogRecord{Claim: &dragonflypass.Claim{Key: key, Nonce: nonce}}})
		response := dragonflypass.ServiceResponse{Status: 200, ContentType: "application/json", Body: make([]byte, 64)}
		state.Apply(dragonflypass.LogEntry{Offset: dragonflypass.Offset(2*i + 2), At: at, Record: dragonflypass.LogRecord{ClaimOutcome: &dragonflypass.ClaimOutcome{Key: key, Nonce: nonce, Response: response}}})
	}
	elapsed := time.Since(start) / time.Duration(keys)
	heapAfter := heapBytes()
	runtime.KeepAlive(state)
	return Figure{Name: "claims with outcomes in memory", Size: fmt.Sprintf("%d keys", keys), Time: elapsed, Bytes: heapAfter - heapBefore}
}

func claimRecord() Figure {
	claim := dragonflypass.Claim{Key: dragonflypass.ClaimKey{Account: "account-1000", Service: "booking"}, VM: "vm-000", Incarnation: 1 << 60, At: time.Now(), Deadline: time.Now()}
	return record("a claim in the log", dragonflypass.LogRecord{Claim: &claim})
}

func changeRecord() Figure {
	items := configurationItems(1, 1)
	change := dragonflypass.Change{ID: "01890000-0000-7000-8000-000000000000", Author: "operator", At: time.Now()}
	for i := range items[len(items)-2:] {
		item := items[len(items)-2+i]
		change.Edits = append(change.Edits, dragonflypass.Edit{Key: item.Key, BaseVersion: 1, Item: &item.Item})
	}
	return record("a change of two items in the log", dragonflypass.LogRecord{Change: &change})
}

func record(name string, r dragonflypass.LogRecord) Figure {
	size := 0
	f := benchmark(name, "encoded and decoded", func(b *testing.B) {
		for b.Loop() {
			data, err := encoder.Encode(r)
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
			if _, err := encoder.Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
	f.Bytes = size
	return f
}

// heapBytes returns the allocated heap after a garbage collection.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
