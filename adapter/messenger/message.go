package messenger

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

// The kinds of messages.
const (
	kindAcquire  = "acquire"
	kindWithdraw = "withdraw"
	kindRelease  = "release"
	kindBeat     = "beat"
	kindEntries  = "entries"
	kindCrash    = "crash"
	kindPrefill  = "prefilled"
	kindAnswer   = "answer"
	// kindQueued tells that a request for a permit waits at its owner.
	kindQueued = "queued"
)

// envelope is one message; an answer carries the ID of its question.
type envelope struct {
	ID   uint64          `cbor:"id"`
	Kind string          `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body,omitempty"`
}

// answer is the body of an answer; at most one field is set.
type answer struct {
	Permit  *permit  `cbor:"permit,omitempty"`
	Refusal *refusal `cbor:"refusal,omitempty"`
	Beat    *beat    `cbor:"beat,omitempty"`
	Page    *page    `cbor:"page,omitempty"`

	// queued is set when the request for a permit waits and its outcome will follow.
	queued bool
}

type stream struct {
	VM          string `cbor:"vm"`
	Incarnation uint64 `cbor:"inc"`
	Sequence    uint64 `cbor:"seq"`
}

type fingerprint struct {
	Account string   `cbor:"account"`
	Model   string   `cbor:"model"`
	Body    [32]byte `cbor:"body"`
}

type acquire struct {
	Stream      stream      `cbor:"stream"`
	Account     string      `cbor:"account"`
	Weight      float64     `cbor:"weight"`
	Model       string      `cbor:"model"`
	Rank        uint8       `cbor:"rank"`
	Prompt      int         `cbor:"prompt"`
	Output      int         `cbor:"output"`
	Expected    int         `cbor:"expected"`
	Pace        int64       `cbor:"pace,omitempty"`
	Fingerprint fingerprint `cbor:"print"`
	// Deadline, Latest and Target are the times left in nanoseconds, for the clocks of VMs differ.
	Deadline int64    `cbor:"deadline"`
	Latest   int64    `cbor:"latest,omitempty"`
	Target   int64    `cbor:"target,omitempty"`
	Breaks   int      `cbor:"breaks,omitempty"`
	Exclude  []string `cbor:"exclude,omitempty"`
	Only     string   `cbor:"only,omitempty"`
	Group    uint64   `cbor:"group,omitempty"`
	Service  string   `cbor:"service,omitempty"`
	ID       string   `cbor:"id,omitempty"`
	Level    int      `cbor:"level,omitempty"`
	Gap      int64    `cbor:"gap,omitempty"`
}

type permit struct {
	Stream   stream   `cbor:"stream"`
	Owner    string   `cbor:"owner"`
	Server   string   `cbor:"server"`
	Address  string   `cbor:"address"`
	Priority int      `cbor:"priority"`
	Helpers  []helper `cbor:"helpers,omitempty"`
	First    int64    `cbor:"first,omitempty"`
}

// helper is written as an array, for a permit may have many.
type helper struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Address     string
	Reservation string
	Tokens      int
}

type refusal struct {
	Reason string `cbor:"reason"`
	Retry  int64  `cbor:"retry,omitempty"`
	Detail string `cbor:"detail"`
}

type release struct {
	Stream  stream `cbor:"stream"`
	Server  string `cbor:"server"`
	Output  int    `cbor:"output,omitempty"`
	Outcome uint8  `cbor:"outcome"`
	Culprit string `cbor:"culprit,omitempty"`
}

type vm struct {
	ID      string `cbor:"id"`
	Zone    string `cbor:"zone"`
	Peer    string `cbor:"peer"`
	Leaving bool   `cbor:"leaving,omitempty"`
	Settled bool   `cbor:"settled,omitempty"`
}

type beat struct {
	From        vm     `cbor:"from"`
	Incarnation uint64 `cbor:"inc"`
	Config      uint64 `cbor:"config"`
	Loads       []load `cbor:"loads,omitempty"`
	Seen        []seen `cbor:"seen,omitempty"`
	// Kept holds the sequence numbers in rising order, each less the one before.
	Kept  []uint64 `cbor:"kept,omitempty"`
	Held  []held   `cbor:"held,omitempty"`
	Marks []mark   `cbor:"marks,omitempty"`
}

// seen is written as an array, for a heartbeat may have many.
type seen struct {
	_           struct{} `cbor:",toarray"`
	VM          vm
	Incarnation uint64
	// Age is in nanoseconds.
	Age int64
}

type mark struct {
	Topic   string   `cbor:"topic"`
	End     uint64   `cbor:"end"`
	Known   bool     `cbor:"known,omitempty"`
	Age     int64    `cbor:"age"`
	Updates []update `cbor:"updates,omitempty"`
	Whole   bool     `cbor:"whole,omitempty"`
}

type update struct {
	Key    string `cbor:"key"`
	Offset uint64 `cbor:"offset"`
	Raw    []byte `cbor:"raw,omitempty"`
}

// load is written as an array, for every heartbeat has many.
type load struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Free    int
	Streams int
	// Wait is in milliseconds.
	Wait [dragonflypass.ClassCount]int64
	// Closing is in nanoseconds since 1970, zero for none.
	Closing int64
	Models  []string
}

type held struct {
	Stream      stream      `cbor:"stream"`
	Server      string      `cbor:"server"`
	Tokens      int         `cbor:"tokens"`
	Fingerprint fingerprint `cbor:"print"`
	Rank        uint8       `cbor:"rank"`
	Account     string      `cbor:"account"`
	// Deadline is the time left in nanoseconds.
	Deadline  int64    `cbor:"deadline"`
	Service   string   `cbor:"service,omitempty"`
	Gap       int64    `cbor:"gap,omitempty"`
	Prompt    int      `cbor:"prompt,omitempty"`
	Prefilled bool     `cbor:"prefilled,omitempty"`
	Left      int64    `cbor:"left,omitempty"`
	Helpers   []string `cbor:"helpers,omitempty"`
}

type entries struct {
	From uint64 `cbor:"from"`
}

type page struct {
	First   uint64  `cbor:"first"`
	Next    uint64  `cbor:"next"`
	Entries []entry `cbor:"entries,omitempty"`
}

type entry struct {
	Offset uint64 `cbor:"offset"`
	At     int64  `cbor:"at"`
	Data   []byte `cbor:"data"`
}

type crash struct {
	Server string        `cbor:"server"`
	Epoch  uint64        `cbor:"epoch"`
	Prints []fingerprint `cbor:"prints"`
	At     int64         `cbor:"at"`
}

// toNano returns the instant in nanoseconds since 1970, zero for none.
func toNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNano(nano int64) time.Time {
	if nano == 0 {
		return time.Time{}
	}
	return time.Unix(0, nano)
}

func toStream(id dragonflypass.StreamID) stream {
	return stream{VM: string(id.VM), Incarnation: id.Incarnation, Sequence: id.Sequence}
}

func (s stream) id() dragonflypass.StreamID {
	return dragonflypass.StreamID{VM: dragonflypass.VMID(s.VM), Incarnation: s.Incarnation, Sequence: s.Sequence}
}

func toFingerprint(f dragonflypass.Fingerprint) fingerprint {
	return fingerprint{Account: string(f.Account), Model: string(f.Model), Body: f.Body}
}

func (f fingerprint) fingerprint() dragonflypass.Fingerprint {
	return dragonflypass.Fingerprint{Account: dragonflypass.AccountID(f.Account), Model: dragonflypass.ModelID(f.Model), Body: f.Body}
}

// toLeft returns the time left to the instant in nanoseconds, zero for none.
func toLeft(t, now time.Time) int64 {
	switch {
	case t.IsZero():
		return 0
	case t.Equal(now):
		return -1
	}
	return int64(t.Sub(now))
}

func fromLeft(left int64, now time.Time) time.Time {
	if left == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(left))
}

func toAcquire(r dragonflypass.PermitRequest, now time.Time) acquire {
	w := acquire{
		Stream: toStream(r.Stream), Account: string(r.Account), Weight: r.Weight, Model: string(r.Model), Rank: uint8(r.Rank),
		Prompt: r.PromptTokens, Output: r.OutputTokens, Expected: r.ExpectedTokens,
		Pace: int64(r.TimePerToken), Fingerprint: toFingerprint(r.Fingerprint),
		Deadline: toLeft(r.Deadline, now), Latest: toLeft(r.LatestStart, now), Target: toLeft(r.FirstTokenDeadline, now),
		Breaks: r.StreamFailures, Only: string(r.PinnedServer), Group: r.Group,
		Service: string(r.Service), ID: r.ID, Level: r.Priority, Gap: int64(r.MaxEventGap),
	}
	for _, server := range r.ExcludedServers {
		w.Exclude = append(w.Exclude, string(server))
	}
	return w
}

func (w acquire) request(now time.Time) dragonflypass.PermitRequest {
	r := dragonflypass.PermitRequest{
		Stream: w.Stream.id(), Account: dragonflypass.AccountID(w.Account), Weight: w.Weight, Model: dragonflypass.ModelID(w.Model),
		Rank:         min(dragonflypass.Rank(w.Rank), dragonflypass.RankBulk),
		PromptTokens: w.Prompt, OutputTokens: w.Output, ExpectedTokens: w.Expected,
		TimePerToken: time.Duration(w.Pace), Fingerprint: w.Fingerprint.fingerprint(),
		Deadline: fromLeft(w.Deadline, now), LatestStart: fromLeft(w.Latest, now), FirstTokenDeadline: fromLeft(w.Target, now),
		StreamFailures: w.Breaks, PinnedServer: dragonflypass.ServerID(w.Only), Group: w.Group,
		Service: dragonflypass.ServiceID(w.Service), ID: w.ID, Priority: w.Level, MaxEventGap: time.Duration(w.Gap),
	}
	for _, server := range w.Exclude {
		r.ExcludedServers = append(r.ExcludedServers, dragonflypass.ServerID(server))
	}
	return r
}

func toPermit(p dragonflypass.Permit) *permit {
	w := &permit{
		Stream: toStream(p.Stream), Owner: string(p.Owner), Server: string(p.Server), Address: p.Address.String(),
		Priority: p.Priority, First: int64(p.TimeToFirstToken),
	}
	for _, h := range p.Helpers {
		w.Helpers = append(w.Helpers, helper{Server: string(h.Server), Address: h.Address.String(), Reservation: h.Reservation, Tokens: h.Tokens})
	}
	return w
}

func (w *permit) permit() (dragonflypass.Permit, error) {
	address, err := parseAddress(w.Address)
	p := dragonflypass.Permit{
		Stream: w.Stream.id(), Owner: dragonflypass.VMID(w.Owner), Server: dragonflypass.ServerID(w.Server),
		Address: address, Priority: w.Priority, TimeToFirstToken: time.Duration(w.First),
	}
	for _, h := range w.Helpers {
		address, failed := parseAddress(h.Address)
		if failed != nil {
			return p, failed
		}
		p.Helpers = append(p.Helpers, dragonflypass.Helper{Server: dragonflypass.ServerID(h.Server), Address: address, Reservation: h.Reservation, Tokens: h.Tokens})
	}
	return p, err
}

func toRefusal(r *dragonflypass.Refusal) *refusal {
	return &refusal{Reason: string(r.Reason), Retry: int64(r.RetryAfter), Detail: r.Detail}
}

func (w *refusal) refusal() *dragonflypass.Refusal {
	return dragonflypass.Refuse(dragonflypass.Reason(w.Reason), time.Duration(w.Retry), "%s", w.Detail)
}

func toRelease(r dragonflypass.PermitRelease) release {
	return release{
		Stream: toStream(r.Stream), Server: string(r.Server), Output: r.OutputTokens, Outcome: uint8(r.Outcome), Culprit: string(r.FaultyHelper),
	}
}

func (w release) release() dragonflypass.PermitRelease {
	return dragonflypass.PermitRelease{
		Stream: w.Stream.id(), Server: dragonflypass.ServerID(w.Server), OutputTokens: w.Output,
		Outcome: dragonflypass.StreamOutcome(w.Outcome), FaultyHelper: dragonflypass.ServerID(w.Culprit),
	}
}

func toBeat(b dragonflypass.Heartbeat, now time.Time) beat {
	w := beat{
		From: toVM(b.From), Incarnation: b.Incarnation, Config: uint64(b.ConfigOffset),
	}
	for _, l := range b.Loads {
		wire := load{Server: string(l.Server), Free: l.Free, Streams: l.Streams, Closing: toNano(l.NextMaintenance)}
		for i, wait := range l.Wait {
			wire.Wait[i] = wait.Milliseconds()
		}
		for _, model := range l.Models {
			wire.Models = append(wire.Models, string(model))
		}
		w.Loads = append(w.Loads, wire)
	}
	before := uint64(0)
	for _, sequence := range slices.Sorted(slices.Values(b.GrantedStreams)) {
		w.Kept = append(w.Kept, sequence-before)
		before = sequence
	}
	for _, h := range b.InheritedStreams {
		w.Held = append(w.Held, toHeld(h, now))
	}
	for _, m := range b.Watermarks {
		w.Marks = append(w.Marks, toMark(m))
	}
	for _, s := range b.PeerStatuses {
		w.Seen = append(w.Seen, seen{VM: toVM(s.VM), Incarnation: s.Incarnation, Age: int64(s.HeartbeatAge)})
	}
	return w
}

func toVM(v dragonflypass.VM) vm {
	return vm{ID: string(v.ID), Zone: string(v.Zone), Peer: v.Peer.String(), Leaving: v.Leaving, Settled: v.TakeoverEligible}
}

func (w vm) vm() (dragonflypass.VM, error) {
	peer, err := parseAddress(w.Peer)
	return dragonflypass.VM{ID: dragonflypass.VMID(w.ID), Zone: dragonflypass.AvailabilityZone(w.Zone), Peer: peer, Leaving: w.Leaving, TakeoverEligible: w.Settled}, err
}

func toHeld(h dragonflypass.OpenStream, now time.Time) held {
	w := held{
		Stream: toStream(h.Stream), Server: string(h.Server), Tokens: h.Tokens, Fingerprint: toFingerprint(h.Fingerprint),
		Rank: uint8(h.Rank), Account: string(h.Account), Deadline: toLeft(h.Deadline, now),
		Service: string(h.Service), Gap: int64(h.MaxEventGap), Prompt: h.PromptTokens, Prefilled: h.Prefilled, Left: int64(h.TimeToFirstToken),
	}
	for _, server := range h.Helpers {
		w.Helpers = append(w.Helpers, string(server))
	}
	return w
}

func (w held) held(now time.Time) dragonflypass.OpenStream {
	h := dragonflypass.OpenStream{
		Stream: w.Stream.id(), Server: dragonflypass.ServerID(w.Server), Tokens: w.Tokens, Fingerprint: w.Fingerprint.fingerprint(),
		Rank: dragonflypass.Rank(w.Rank), Account: dragonflypass.AccountID(w.Account), Deadline: fromLeft(w.Deadline, now),
		Service: dragonflypass.ServiceID(w.Service), MaxEventGap: time.Duration(w.Gap), PromptTokens: w.Prompt, Prefilled: w.Prefilled, TimeToFirstToken: time.Duration(w.Left),
	}
	for _, server := range w.Helpers {
		h.Helpers = append(h.Helpers, dragonflypass.ServerID(server))
	}
	return h
}

func toMark(m dragonflypass.Watermark) mark {
	w := mark{Topic: string(m.Topic), End: uint64(m.EndOffset), Known: m.Loaded, Age: int64(m.Staleness), Whole: m.FullSnapshot}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, update{Key: u.Key, Offset: uint64(u.Offset), Raw: u.Raw})
	}
	return w
}

func (w mark) mark() dragonflypass.Watermark {
	m := dragonflypass.Watermark{
		Topic: dragonflypass.Topic(w.Topic), EndOffset: dragonflypass.Offset(w.End), Loaded: w.Known, Staleness: time.Duration(w.Age), FullSnapshot: w.Whole,
	}
	for _, u := range w.Updates {
		m.Updates = append(m.Updates, dragonflypass.Update{Key: u.Key, Offset: dragonflypass.Offset(u.Offset), Raw: u.Raw})
	}
	return m
}

func (w beat) beat(now time.Time) (dragonflypass.Heartbeat, error) {
	from, err := w.From.vm()
	b := dragonflypass.Heartbeat{
		From: from, Incarnation: w.Incarnation, ConfigOffset: dragonflypass.Offset(w.Config),
	}
	for _, l := range w.Loads {
		full := dragonflypass.ServerLoad{Server: dragonflypass.ServerID(l.Server), Free: l.Free, Streams: l.Streams, NextMaintenance: fromNano(l.Closing)}
		for i, wait := range l.Wait {
			full.Wait[i] = time.Duration(wait) * time.Millisecond
		}
		for _, model := range l.Models {
			full.Models = append(full.Models, dragonflypass.ModelID(model))
		}
		b.Loads = append(b.Loads, full)
	}
	sequence := uint64(0)
	for _, step := range w.Kept {
		sequence += step
		b.GrantedStreams = append(b.GrantedStreams, sequence)
	}
	for _, h := range w.Held {
		b.InheritedStreams = append(b.InheritedStreams, h.held(now))
	}
	for _, m := range w.Marks {
		b.Watermarks = append(b.Watermarks, m.mark())
	}
	for _, s := range w.Seen {
		other, failed := s.VM.vm()
		if failed != nil {
			return b, failed
		}
		b.PeerStatuses = append(b.PeerStatuses, dragonflypass.PeerStatus{VM: other, Incarnation: s.Incarnation, HeartbeatAge: time.Duration(s.Age)})
	}
	return b, err
}

func toPage(p dragonflypass.LogPage) (*page, error) {
	w := &page{First: uint64(p.FirstOffset), Next: uint64(p.NextOffset)}
	for _, e := range p.Entries {
		data, err := encoder.Encode(e.Record)
		if err != nil {
			return nil, err
		}
		w.Entries = append(w.Entries, entry{Offset: uint64(e.Offset), At: toNano(e.At), Data: data})
	}
	return w, nil
}

func (w *page) page() (dragonflypass.LogPage, error) {
	p := dragonflypass.LogPage{FirstOffset: dragonflypass.Offset(w.First), NextOffset: dragonflypass.Offset(w.Next)}
	for _, e := range w.Entries {
		record, err := encoder.Decode(e.Data)
		if err != nil {
			return p, eris.Wrap(dragonflypass.ErrBroken, err.Error())
		}
		p.Entries = append(p.Entries, dragonflypass.LogEntry{Offset: dragonflypass.Offset(e.Offset), At: fromNano(e.At), Record: record})
	}
	return p, nil
}

func toCrash(c dragonflypass.ServerCrash) crash {
	w := crash{Server: string(c.Server), Epoch: c.Epoch, At: toNano(c.At)}
	for _, f := range c.Fingerprints {
		w.Prints = append(w.Prints, toFingerprint(f))
	}
	return w
}

func (w crash) crash() dragonflypass.ServerCrash {
	c := dragonflypass.ServerCrash{Server: dragonflypass.ServerID(w.Server), Epoch: w.Epoch, At: fromNano(w.At)}
	for _, f := range w.Prints {
		c.Fingerprints = append(c.Fingerprints, f.fingerprint())
	}
	return c
}

// Transcode encodes a heartbeat, decodes it again and returns its size in bytes.
func Transcode(b dragonflypass.Heartbeat) int {
	data := body(envelope{ID: 1, Kind: kindBeat, Body: body(toBeat(b, time.Now()))})
	var e envelope
	var wire beat
	if cbor.Unmarshal(data, &e) != nil || cbor.Unmarshal(e.Body, &wire) != nil {
		return 0
	}
	if _, err := wire.beat(time.Now()); err != nil {
		return 0
	}
	return len(data)
}

// PermitBytes returns the size in bytes of the messages by which one permit is asked for, granted and returned.
func PermitBytes(request dragonflypass.PermitRequest, granted dragonflypass.Permit, returned dragonflypass.PermitRelease) int {
	total := 0
	for _, e := range []envelope{
		{ID: 1 << 20, Kind: kindAcquire, Body: body(toAcquire(request, time.Now()))},
		{ID: 1 << 20, Kind: kindAnswer, Body: body(answer{Permit: toPermit(granted)})},
		{ID: 1 << 20, Kind: kindRelease, Body: body(toRelease(returned))},
		{ID: 1 << 20, Kind: kindAnswer, Body: body(answer{})},
	} {
		total += len(body(e))
	}
	return total
}
