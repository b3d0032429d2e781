package dragonflypass

import (
	"context"
	"net/netip"
	"time"
)

// Timer tells the time and runs jobs at their times on the pool of workers.
type Timer interface {
	// Now returns the current instant.
	Now() time.Time
	// Uptime returns the time since the VM was started; it counts the time in which the VM stood still,
	// and no change of the time of day.
	Uptime() time.Duration
	// Every runs the job each period until stop is called; runs of one job do not overlap.
	Every(kind JobKind, period time.Duration, job func(context.Context)) (stop func())
	// At runs the job once at the instant unless stop is called before.
	At(kind JobKind, when time.Time, job func(context.Context)) (stop func())
	// WithDeadline returns a context that ends at the instant.
	WithDeadline(ctx context.Context, when time.Time) (context.Context, context.CancelFunc)
}

// JobKind names a kind of work of the pool, by which it is counted and shed.
type JobKind string

// The kinds of jobs.
const (
	JobHeartbeat JobKind = "heartbeat"
	JobConfig    JobKind = "config"
	JobReport    JobKind = "report"
	JobClaim     JobKind = "claim"
	JobMembers   JobKind = "members"
	JobCancel    JobKind = "cancel"
	JobSweep     JobKind = "sweep"
	JobPeer      JobKind = "peer"
	JobOrder     JobKind = "order"
	JobRouting   JobKind = "routing"
	JobRegistry  JobKind = "registry"
	JobProbe     JobKind = "probe"
	JobRetry     JobKind = "repeat"
)

// Pool runs jobs on a fixed number of workers.
type Pool interface {
	// Submit queues the job and reports whether there was room for its kind.
	Submit(kind JobKind, job func(context.Context)) bool
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds the record and returns its offset.
	// It returns ErrUncertain when the record may have been added.
	Append(ctx context.Context, stream LogStream, record LogRecord) (Offset, error)
	// Read returns up to limit entries from the offset on.
	// It returns ErrTrimmed, with First set in the page, when the offset is no longer kept.
	Read(ctx context.Context, stream LogStream, from Offset, limit int) (LogPage, error)
}

// Directory is the platform's lagging list of VMs.
type Directory interface {
	// VMs returns the live and leaving VMs.
	VMs(ctx context.Context) ([]PlatformVM, error)
}

// Store is the platform's metadata store.
type Store interface {
	// Latest returns the newest record of each key of the topic.
	Latest(ctx context.Context, topic Topic) (UpdatePage, error)
	// Changes returns the records of the topic from the offset on, waiting for the first at most the span.
	// It returns ErrTrimmed when the offset is no longer kept.
	Changes(ctx context.Context, topic Topic, from Offset, wait time.Duration) (UpdatePage, error)
	// RegisterMember writes an entry VM into the topic of members.
	RegisterMember(ctx context.Context, vm VM) error
	// Decode reads a record that another entry VM passed on.
	Decode(topic Topic, key string, offset Offset, raw []byte) Update
}

// Backend passes exchanges on to backend servers.
type Backend interface {
	// Send passes the exchange on and returns the answer once its head has come.
	// Errors: ErrUnavailable (nothing was sent), a ServerRefusal, or ErrUncertain.
	Send(ctx context.Context, delivery BackendRequest) (BackendResponse, error)
	// Probe makes a connection to the server and closes it.
	Probe(ctx context.Context, server netip.AddrPort) error
	// Usage returns what the server at the address says of its memory and requests, with a lag.
	Usage(ctx context.Context, server netip.AddrPort) (ServerUsage, error)
	// Reserve sets memory aside at the server for the span, or renews the reservation.
	// Errors: ErrRefused when the memory is not free, ErrUnavailable, ErrUncertain.
	Reserve(ctx context.Context, server netip.AddrPort, reservation Reservation) error
	// Free gives a reservation up; one that the server does not know is no error.
	Free(ctx context.Context, server netip.AddrPort, name string) error
}

// BackendResponse is a backend server's answer while it arrives.
type BackendResponse interface {
	// Head returns the beginning of the answer.
	Head() ResponseHead
	// Next returns the next piece. It returns io.EOF once the answer is proved whole, else ErrBroken.
	Next() (Chunk, error)
	// Close gives the rest of the answer up; the server stops work on a request that has not ended.
	Close()
}

// ResponseWriter takes the answer to an exchange.
type ResponseWriter interface {
	// WriteHead passes the head of the answer on.
	WriteHead(head ResponseHead) error
	// WriteChunk passes a piece of the answer on at once.
	WriteChunk(piece Chunk) error
}

// Engine is a backend server.
type Engine interface {
	// Stream runs a request under the permit and passes each frame to accept, which may stop it by an error.
	// Errors: ErrUnavailable, ErrRefused (nothing ran), ErrUnknown (the stream or the source is gone, nothing ran),
	// ErrBroken, or the error of accept.
	Stream(ctx context.Context, call EngineCall, accept func(Frame) error) error
	// Prefill processes a part of a prompt and holds its KV memory under the permit's stream until that is cancelled.
	// Errors: as for Stream.
	Prefill(ctx context.Context, call EngineCall) error
	// Cancel ends a stream and returns its memory; a stream that the server does not know is no error.
	Cancel(ctx context.Context, server netip.AddrPort, stream StreamID) error
	// Report returns the server's lagging report.
	Report(ctx context.Context, server netip.AddrPort) (ServerReport, error)
	// Order has the server load or unload a model.
	// Errors: ErrFenced when the fencing number is old, ErrRefused when the server cannot now, else as for Cancel.
	Order(ctx context.Context, server netip.AddrPort, order Order) error
}

// EngineCall is one attempt to run a request at a backend server.
type EngineCall struct {
	Permit Permit
	// Attempt numbers the calls of one stream; frames of another attempt are not the caller's.
	Attempt int
	Model   ModelID
	Prompt  string
	// DeliveredText is the answer's text so far, and From its length in tokens.
	DeliveredText   string
	DeliveredTokens int
	// KVSources are the parts of the prompt before Prompt, whose KV memory other servers hold.
	KVSources []KVSource
	// MigrateFrom is the stream, at a server about to be taken down, whose KV memory the server copies, so
	// that it processes only what the copy lacks; nil for none.
	MigrateFrom *KVSource
	// Reconnect continues the stream that the server already runs, rather than starting one.
	Reconnect bool
	// OutputTokens is the largest number of tokens of the whole answer.
	OutputTokens int
	Deadline     time.Time
}

// KVSource is a part of a prompt that a server has processed and exports.
type KVSource struct {
	Address netip.AddrPort
	Stream  StreamID
}

// ServiceClient calls plain services.
type ServiceClient interface {
	// Call sends the invocation to the endpoint at most once.
	// Errors: ErrUnavailable, ErrRefused (nothing ran) or ErrUncertain.
	Call(ctx context.Context, endpoint Endpoint, call ServiceCall) (ServiceResponse, error)
}

// PeerClient reaches the other entry VMs.
type PeerClient interface {
	// Acquire waits for a permit of the owner; when ctx ends the request is withdrawn.
	Acquire(ctx context.Context, owner VM, request PermitRequest) (Permit, error)
	// Release returns a permit to its owner.
	Release(ctx context.Context, owner VM, release PermitRelease) error
	// ExchangeHeartbeat sends a heartbeat and returns the other side's.
	ExchangeHeartbeat(ctx context.Context, to VM, beat Heartbeat) (Heartbeat, error)
	// ConfigEntries returns configuration entries that the other side has from the offset on.
	ConfigEntries(ctx context.Context, to VM, from Offset) (LogPage, error)
	// ReportCrash tells another entry VM of a backend server that crashed while running the fingerprints.
	ReportCrash(ctx context.Context, to VM, crash ServerCrash) error
	// Prefilled tells the owner that the permit's prompt has been processed.
	Prefilled(ctx context.Context, owner VM, stream StreamID) error
}

// PeerHandler answers the other entry VMs.
type PeerHandler interface {
	// Acquire queues a request for a permit of this VM; told is called once unless withdraw is called before.
	Acquire(request PermitRequest, told func(Permit, error)) (withdraw func())
	// Release takes a permit back.
	Release(release PermitRelease)
	// ExchangeHeartbeat takes a heartbeat and returns this VM's own.
	ExchangeHeartbeat(beat Heartbeat) Heartbeat
	// ConfigEntries returns configuration entries from the offset on.
	ConfigEntries(from Offset) LogPage
	// ReportCrash takes word of a crash.
	ReportCrash(crash ServerCrash)
	// Prefilled notes that the permit's prompt has been processed.
	Prefilled(stream StreamID)
}

// Owner is the owner's side of permits for backend servers.
type Owner interface {
	// RequestPermit queues a request for a permit; told is called once unless withdraw is called before.
	RequestPermit(request PermitRequest, told func(Permit, error)) (withdraw func())
	// Prefilled notes that the permit's prompt has been processed.
	Prefilled(stream StreamID)
	// Release takes a permit back.
	Release(release PermitRelease)
	// RejectUnservable refuses the waiting requests that can no longer be served.
	RejectUnservable()
}

// ServerCrash tells of a backend server that died and of what it was running.
type ServerCrash struct {
	Server ServerID
	// Epoch is the server's epoch before the crash.
	Epoch        uint64
	Fingerprints []Fingerprint
	At           time.Time
}

// Placement orders the places at which a request may run.
type Placement interface {
	// Sort sorts the candidates so that the first is the best.
	Sort(candidates []Candidate)
}

// Candidate is an owner or a backend server at which a request may run.
type Candidate struct {
	// Name is the identifier of the VM or server.
	Name string
	// Wait is the predicted time to the start of the request there.
	Wait time.Duration
	// NetworkDelay is the added network time.
	NetworkDelay time.Duration
	// CacheSavings is the prompt processing time that a cached prefix is likely to save.
	CacheSavings time.Duration
	// InFlight is the number of requests running there.
	InFlight int
	// Free is the free KV memory in tokens.
	Free int
}

// QueuedRequest is a request in an owner's queue.
type QueuedRequest struct {
	Request  PermitRequest
	QueuedAt time.Time
	// Boosted is set by the queue when the request is served because its rank is below its floor.
	Boosted bool
	// Done is called once with the permit or the refusal, outside all locks.
	Done func(Permit, error)
}

// Queue orders the requests that wait at an owner.
type Queue interface {
	// Push adds a request.
	Push(waiting *QueuedRequest, now time.Time)
	// Remove takes a request out and reports whether it was there.
	Remove(waiting *QueuedRequest) bool
	// Pop takes out and returns the first request, in the queue's order, that fit accepts.
	Pop(now time.Time, fit func(*QueuedRequest) bool) *QueuedRequest
	// Charge counts service in tokens given to a client account's rank.
	Charge(rank Rank, account AccountID, weight float64, tokens int, now time.Time)
	// PredictWait predicts how long a further request would wait when the given number of tokens a second is served.
	PredictWait(request *PermitRequest, rate float64, now time.Time) time.Duration
	// Backlog returns the waiting prompt tokens of the model, up to and including the rank.
	Backlog(model ModelID, rank Rank) int
	// BelowMinShare reports whether the rank has been given less than its floor.
	BelowMinShare(rank Rank) bool
	// Len returns the number of waiting requests.
	Len() int
	// PopExpired takes out and returns the requests whose latest start has passed.
	PopExpired(now time.Time) []*QueuedRequest
	// Filter takes out and returns the requests that keep rejects.
	Filter(keep func(*QueuedRequest) bool) []*QueuedRequest
}

// Meter counts events and records durations.
type Meter interface {
	// Add adds to a counter.
	Add(counter Counter, delta int64)
	// Observe records a duration under a rank and length class.
	Observe(measure Measure, rank Rank, class LengthClass, span time.Duration)
	// RecordResult records the end of an exchange.
	RecordResult(ending ExchangeResult)
}

// Counter names a counter of events.
type Counter string

// Measure names a recorded duration.
type Measure string

// Logger writes lines for changes of state.
type Logger interface {
	// Info writes a line with key and value pairs.
	Info(message any, pairs ...any)
	// Warn writes a line with key and value pairs.
	Warn(message any, pairs ...any)
}

// Sink takes a caller's answer frame by frame.
type Sink interface {
	// Accept takes the next frame in order; an error ends the request as cancelled.
	Accept(frame Frame) error
}
