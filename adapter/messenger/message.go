package messenger

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

// The kinds of messages.
const (
	kindAcquire   = "acquire"
	kindWithdraw  = "withdraw"
	kindRelease   = "release"
	kindHeartbeat = "beat"
	kindEntries   = "entries"
	kindCrash     = "crash"
	kindPrefilled = "prefilled"
	kindResponse  = "answer"
	// kindQueued reports that the owner has queued a permit request.
	kindQueued = "queued"
)

// envelope is one message. A message without an ID expects no response. A response, a kindQueued notice and a withdrawal carry the ID of the request they refer to.
type envelope struct {
	ID   uint64          `cbor:"id"`
	Kind string          `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body,omitempty"`
}

// response is the body of a response message; at most one field is set.
type response struct {
	Permit    *permit    `cbor:"permit,omitempty"`
	Refusal   *refusal   `cbor:"refusal,omitempty"`
	Heartbeat *heartbeat `cbor:"beat,omitempty"`
	Page      *logPage   `cbor:"page,omitempty"`

	// queued is set if the permit request is queued and its outcome will follow. It is not encoded: the notice is a
	// message of its own kind.
	queued bool
}

// Unless noted otherwise, the message bodies below encode durations in nanoseconds and times in nanoseconds since 1970.

type streamID struct {
	VM          string `cbor:"vm"`
	Incarnation uint64 `cbor:"inc"`
	Sequence    uint64 `cbor:"seq"`
}

type fingerprint struct {
	Account string   `cbor:"account"`
	Model   string   `cbor:"model"`
	Body    [32]byte `cbor:"body"`
}

type permitRequest struct {
	Stream         streamID    `cbor:"stream"`
	Account        string      `cbor:"account"`
	Weight         float64     `cbor:"weight"`
	Model          string      `cbor:"model"`
	Rank           uint8       `cbor:"rank"`
	PromptTokens   int         `cbor:"prompt"`
	OutputTokens   int         `cbor:"output"`
	ExpectedTokens int         `cbor:"expected"`
	TimePerToken   int64       `cbor:"pace,omitempty"`
	Fingerprint    fingerprint `cbor:"print"`
	// Deadline, LatestStart, FirstTokenDeadline and AbandonedAt are encoded as the time remaining in nanoseconds, because the clocks
	// of VMs differ.
	Deadline           int64 `cbor:"deadline"`
	LatestStart        int64 `cbor:"latest,omitempty"`
	FirstTokenDeadline int64 `cbor:"target,omitempty"`
	// AbandonedAt is ignored by the versions that do not know it.
	AbandonedAt    int64 `cbor:"abandoned,omitempty"`
	StreamFailures int   `cbor:"breaks,omitempty"`
	// Begun is ignored by the versions that do not know it.
	Begun           bool     `cbor:"begun,omitempty"`
	ExcludedServers []string `cbor:"exclude,omitempty"`
	PinnedServer    string   `cbor:"only,omitempty"`
	Group           uint64   `cbor:"group,omitempty"`
	Service         string   `cbor:"service,omitempty"`
	Zone            string   `cbor:"zone,omitempty"`
	Index           int      `cbor:"index,omitempty"`
	Moved           bool     `cbor:"moved,omitempty"`
	ID              string   `cbor:"id,omitempty"`
	Priority        int      `cbor:"level,omitempty"`
	MaxEventGap     int64    `cbor:"gap,omitempty"`
	// Parts is ignored by the versions that do not know it.
	Parts []string `cbor:"parts,omitempty"`
	// MeanOutput and HighOutput are ignored by the versions that do not know them.
	MeanOutput int `cbor:"mean,omitempty"`
	HighOutput int `cbor:"high,omitempty"`
}

type permit struct {
	Stream           streamID `cbor:"stream"`
	Owner            string   `cbor:"owner"`
	Server           string   `cbor:"server"`
	Address          string   `cbor:"address"`
	Priority         int      `cbor:"priority"`
	Helpers          []helper `cbor:"helpers,omitempty"`
	TimeToFirstToken int64    `cbor:"first,omitempty"`
}

// helper is encoded as an array to save space, because a permit may contain many.
type helper struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Address     string
	Reservation string
	Tokens      int
}

type refusal struct {
	Reason     string `cbor:"reason"`
	RetryAfter int64  `cbor:"retry,omitempty"`
	Detail     string `cbor:"detail"`
	Zone       string `cbor:"zone,omitempty"`
	Index      int    `cbor:"index,omitempty"`
}

type release struct {
	Stream       streamID `cbor:"stream"`
	Server       string   `cbor:"server"`
	OutputTokens int      `cbor:"output,omitempty"`
	Outcome      uint8    `cbor:"outcome"`
	FaultyHelper string   `cbor:"culprit,omitempty"`
	// Leaving is ignored by the versions that do not know it.
	Leaving []string `cbor:"leaving,omitempty"`
}

type openStream struct {
	Stream      streamID    `cbor:"stream"`
	Server      string      `cbor:"server"`
	Tokens      int         `cbor:"tokens"`
	Fingerprint fingerprint `cbor:"print"`
	Rank        uint8       `cbor:"rank"`
	Account     string      `cbor:"account"`
	// Deadline is encoded as the time remaining in nanoseconds.
	Deadline         int64    `cbor:"deadline"`
	Service          string   `cbor:"service,omitempty"`
	Zone             string   `cbor:"zone,omitempty"`
	Index            int      `cbor:"index,omitempty"`
	MaxEventGap      int64    `cbor:"gap,omitempty"`
	PromptTokens     int      `cbor:"prompt,omitempty"`
	Prefilled        bool     `cbor:"prefilled,omitempty"`
	TimeToFirstToken int64    `cbor:"left,omitempty"`
	Helpers          []string `cbor:"helpers,omitempty"`
	// Parts is ignored by the versions that do not know it.
	Parts []string `cbor:"parts,omitempty"`
}

type entriesRequest struct {
	FromOffset uint64 `cbor:"from"`
}

type logPage struct {
	FirstOffset uint64     `cbor:"first"`
	NextOffset  uint64     `cbor:"next"`
	Entries     []logEntry `cbor:"entries,omitempty"`
}

type logEntry struct {
	Offset uint64 `cbor:"offset"`
	At     int64  `cbor:"at"`
	Data   []byte `cbor:"data"`
}

// toUnixNano returns the time in nanoseconds since 1970, zero for the zero time.
func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(nano int64) time.Time {
	if nano == 0 {
		return time.Time{}
	}
	return time.Unix(0, nano)
}

func toStreamID(id dragonflypass.StreamID) streamID {
	return streamID{VM: string(id.VM), Incarnation: id.Incarnation, Sequence: id.Sequence}
}

func (s streamID) id() dragonflypass.StreamID {
	return dragonflypass.StreamID{VM: dragonflypass.VMID(s.VM), Incarnation: s.Incarnation, Sequence: s.Sequence}
}

func toFingerprint(f dragonflypass.Fingerprint) fingerprint {
	return fingerprint{Account: string(f.Account), Model: string(f.Model), Body: f.Body}
}

func (f fingerprint) fingerprint() dragonflypass.Fingerprint {
	return dragonflypass.Fingerprint{Account: dragonflypass.AccountID(f.Account), Model: dragonflypass.ModelID(f.Model), Body: f.Body}
}

// toRemaining returns the time from now to t in nanoseconds, zero if t is the zero time. If t equals now, it returns -1,
// because zero stands for the zero time.
func toRemaining(t, now time.Time) int64 {
	switch {
	case t.IsZero():
		return 0
	case t.Equal(now):
		return -1
	}
	return int64(t.Sub(now))
}

func fromRemaining(remaining int64, now time.Time) time.Time {
	if remaining == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(remaining))
}

func toPermitRequest(r dragonflypass.PermitRequest, now time.Time) permitRequest {
	w := permitRequest{
		Stream: toStreamID(r.Stream), Account: string(r.Account), Weight: r.Weight, Model: string(r.Model), Rank: uint8(r.Rank),
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, ExpectedTokens: r.ExpectedTokens,
		TimePerToken: int64(r.TimePerToken), Fingerprint: toFingerprint(r.Fingerprint),
		Deadline: toRemaining(r.Deadline, now), LatestStart: toRemaining(r.LatestStart, now), FirstTokenDeadline: toRemaining(r.FirstTokenDeadline, now), AbandonedAt: toRemaining(r.AbandonedAt, now),
		StreamFailures: r.StreamFailures, Begun: r.Begun, PinnedServer: string(r.PinnedServer), Group: r.Group,
		Service: string(r.Service), Zone: string(r.Part.Zone), Index: r.Part.Index, Moved: r.Moved, ID: r.ID, Priority: r.Priority, MaxEventGap: int64(r.MaxEventGap),
		Parts: toStrings(r.Parts), MeanOutput: r.ExpectedOutput.Mean, HighOutput: r.ExpectedOutput.High,
	}
	for _, server := range r.ExcludedServers {
		w.ExcludedServers = append(w.ExcludedServers, string(server))
	}
	return w
}

func (w permitRequest) request(now time.Time) dragonflypass.PermitRequest {
	r := dragonflypass.PermitRequest{
		Stream: w.Stream.id(), Account: dragonflypass.AccountID(w.Account), Weight: w.Weight, Model: dragonflypass.ModelID(w.Model),
		Rank:         min(dragonflypass.Rank(w.Rank), dragonflypass.RankBulk),
		PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens, ExpectedTokens: w.ExpectedTokens,
		TimePerToken: time.Duration(w.TimePerToken), Fingerprint: w.Fingerprint.fingerprint(),
		Deadline: fromRemaining(w.Deadline, now), LatestStart: fromRemaining(w.LatestStart, now), FirstTokenDeadline: fromRemaining(w.FirstTokenDeadline, now), AbandonedAt: fromRemaining(w.AbandonedAt, now),
		StreamFailures: w.StreamFailures, Begun: w.Begun, PinnedServer: dragonflypass.ServerID(w.PinnedServer), Group: w.Group,
		Service: dragonflypass.ServiceID(w.Service), Part: toPart(w.Zone, w.Index), Moved: w.Moved, ID: w.ID, Priority: w.Priority, MaxEventGap: time.Duration(w.MaxEventGap),
		Parts:          fromStrings[dragonflypass.SharedPart](w.Parts),
		ExpectedOutput: dragonflypass.OutputEstimate{Mean: max(0, w.MeanOutput), High: max(0, w.HighOutput)},
	}
	for _, server := range w.ExcludedServers {
		r.ExcludedServers = append(r.ExcludedServers, dragonflypass.ServerID(server))
	}
	return r
}

func toPermit(p dragonflypass.Permit) *permit {
	w := &permit{
		Stream: toStreamID(p.Stream), Owner: string(p.Owner), Server: string(p.Server), Address: p.Address.String(),
		Priority: p.Priority, TimeToFirstToken: int64(p.TimeToFirstToken),
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
		Address: address, Priority: w.Priority, TimeToFirstToken: time.Duration(w.TimeToFirstToken),
	}
	for _, h := range w.Helpers {
		address, helperErr := parseAddress(h.Address)
		if helperErr != nil {
			return p, helperErr
		}
		p.Helpers = append(p.Helpers, dragonflypass.Helper{Server: dragonflypass.ServerID(h.Server), Address: address, Reservation: h.Reservation, Tokens: h.Tokens})
	}
	return p, err
}

func toRefusal(r *dragonflypass.Refusal) *refusal {
	return &refusal{Reason: string(r.Reason), RetryAfter: int64(r.RetryAfter), Detail: r.Detail, Zone: string(r.Part.Zone), Index: r.Part.Index}
}

func toPart(zone string, index int) dragonflypass.ShardPart {
	return dragonflypass.ShardPart{Zone: dragonflypass.AvailabilityZone(zone), Index: index}
}

func (w *refusal) refusal() *dragonflypass.Refusal {
	r := dragonflypass.Refuse(dragonflypass.Reason(w.Reason), time.Duration(w.RetryAfter), "%s", w.Detail)
	r.Part = toPart(w.Zone, w.Index)
	return r
}

func toRelease(r dragonflypass.PermitRelease) release {
	w := release{
		Stream: toStreamID(r.Stream), Server: string(r.Server), OutputTokens: r.OutputTokens, Outcome: uint8(r.Outcome), FaultyHelper: string(r.FaultyHelper),
	}
	for _, server := range r.Leaving {
		w.Leaving = append(w.Leaving, string(server))
	}
	return w
}

func (w release) release() dragonflypass.PermitRelease {
	r := dragonflypass.PermitRelease{
		Stream: w.Stream.id(), Server: dragonflypass.ServerID(w.Server), OutputTokens: w.OutputTokens,
		Outcome: dragonflypass.StreamOutcome(w.Outcome), FaultyHelper: dragonflypass.ServerID(w.FaultyHelper),
	}
	for _, server := range w.Leaving {
		r.Leaving = append(r.Leaving, dragonflypass.ServerID(server))
	}
	return r
}

func toOpenStream(s dragonflypass.OpenStream, now time.Time) openStream {
	w := openStream{
		Stream: toStreamID(s.Stream), Server: string(s.Server), Tokens: s.Tokens, Fingerprint: toFingerprint(s.Fingerprint),
		Rank: uint8(s.Rank), Account: string(s.Account), Deadline: toRemaining(s.Deadline, now),
		Service: string(s.Service), Zone: string(s.Part.Zone), Index: s.Part.Index, MaxEventGap: int64(s.MaxEventGap), PromptTokens: s.PromptTokens, Prefilled: s.Prefilled, TimeToFirstToken: int64(s.TimeToFirstToken),
		Parts: toStrings(s.Parts),
	}
	for _, server := range s.Helpers {
		w.Helpers = append(w.Helpers, string(server))
	}
	return w
}

func (w openStream) openStream(now time.Time) dragonflypass.OpenStream {
	s := dragonflypass.OpenStream{
		Stream: w.Stream.id(), Server: dragonflypass.ServerID(w.Server), Tokens: w.Tokens, Fingerprint: w.Fingerprint.fingerprint(),
		Rank: dragonflypass.Rank(w.Rank), Account: dragonflypass.AccountID(w.Account), Deadline: fromRemaining(w.Deadline, now),
		Service: dragonflypass.ServiceID(w.Service), Part: toPart(w.Zone, w.Index), MaxEventGap: time.Duration(w.MaxEventGap), PromptTokens: w.PromptTokens, Prefilled: w.Prefilled, TimeToFirstToken: time.Duration(w.TimeToFirstToken),
		Parts: fromStrings[dragonflypass.SharedPart](w.Parts),
	}
	for _, server := range w.Helpers {
		s.Helpers = append(s.Helpers, dragonflypass.ServerID(server))
	}
	return s
}

func toPage(p dragonflypass.LogPage) (*logPage, error) {
	w := &logPage{FirstOffset: uint64(p.FirstOffset), NextOffset: uint64(p.NextOffset)}
	for _, e := range p.Entries {
		data, err := encoder.Encode(e.Record)
		if err != nil {
			return nil, err
		}
		w.Entries = append(w.Entries, logEntry{Offset: uint64(e.Offset), At: toUnixNano(e.At), Data: data})
	}
	return w, nil
}

func (w *logPage) page() (dragonflypass.LogPage, error) {
	p := dragonflypass.LogPage{FirstOffset: dragonflypass.Offset(w.FirstOffset), NextOffset: dragonflypass.Offset(w.NextOffset)}
	for _, e := range w.Entries {
		record, err := encoder.Decode(e.Data)
		if err != nil {
			return p, eris.Wrap(dragonflypass.ErrBroken, err.Error())
		}
		p.Entries = append(p.Entries, dragonflypass.LogEntry{Offset: dragonflypass.Offset(e.Offset), At: fromUnixNano(e.At), Record: record})
	}
	return p, nil
}

// PermitBytes returns the total size in bytes of the messages that request, grant and release one permit.
func PermitBytes(request dragonflypass.PermitRequest, permit dragonflypass.Permit, release dragonflypass.PermitRelease) int {
	total := 0
	for _, e := range []envelope{
		{ID: 1 << 20, Kind: kindAcquire, Body: mustMarshal(toPermitRequest(request, time.Now()))},
		{ID: 1 << 20, Kind: kindResponse, Body: mustMarshal(response{Permit: toPermit(permit)})},
		{ID: 1 << 20, Kind: kindRelease, Body: mustMarshal(toRelease(release))},
		{ID: 1 << 20, Kind: kindResponse, Body: mustMarshal(response{})},
	} {
		total += len(mustMarshal(e))
	}
	return total
}
