package dragonflypass

import (
	"context"
	"net/netip"
	"time"
)

// Timer provides the time and runs scheduled jobs on the worker pool.
type Timer interface {
	// Now returns the current time.
	Now() time.Time
	// Uptime returns the time since the VM started. It includes periods in which the VM was paused
	// and is not affected by changes of the wall clock.
	Uptime() time.Duration
	// Every runs the job once per period until stop is called; runs of one job do not overlap.
	Every(kind JobKind, period time.Duration, job func(context.Context)) (stop func())
	// At runs the job once at the given time unless stop is called before.
	At(kind JobKind, when time.Time, job func(context.Context)) (stop func())
	// WithDeadline returns a context that is cancelled at the given time.
	WithDeadline(ctx context.Context, when time.Time) (context.Context, context.CancelFunc)
}

// JobKind is a kind of job; the pool counts and sheds jobs by kind.
type JobKind string

// The job kinds.
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
	// Submit queues the job and reports whether the queue of its kind had room.
	Submit(kind JobKind, job func(context.Context)) bool
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds the record and returns its offset.
	// It returns ErrUncertain if the record may have been added.
	Append(ctx context.Context, stream LogStream, record LogRecord) (Offset, error)
	// Read returns up to limit entries, starting at the offset.
	// It returns ErrTrimmed, with FirstOffset set in the page, if the offset is no longer retained.
	Read(ctx context.Context, stream LogStream, from Offset, limit int) (LogPage, error)
}

// Directory is the platform's list of VMs, which may be out of date.
type Directory interface {
	// VMs returns the VMs that are live or leaving.
	VMs(ctx context.Context) ([]PlatformVM, error)
}

// Store is the platform's metadata store. A page that is returned with an error contains only the era of the response.
type Store interface {
	// Latest returns the latest record of each key of the topic.
	Latest(ctx context.Context, topic Topic) (UpdatePage, error)
	// Changes returns all records of the topic starting at the offset; it waits for the first one up to the given duration.
	// It returns ErrTrimmed if the offset is no longer retained, and ErrTruncated if there are too many records for one response.
	Changes(ctx context.Context, topic Topic, from Offset, wait time.Duration) (UpdatePage, error)
	// RegisterMember writes an entry VM to the members topic and returns the era in which the store responded.
	RegisterMember(ctx context.Context, vm VM) (Era, error)
	// Decode decodes a record that another entry VM forwarded.
	Decode(topic Topic, key string, offset Offset, raw []byte) Update
}

// Backend forwards exchanges to backend servers.
type Backend interface {
	// Send forwards the exchange and returns the response once its head has arrived.
	// Errors: ErrUnavailable (nothing was sent), a ServerRefusal, or ErrUncertain.
	Send(ctx context.Context, request BackendRequest) (BackendResponse, error)
	// Probe opens a connection to the server and closes it.
	Probe(ctx context.Context, server netip.AddrPort) error
	// Usage returns the memory and request counts that the server at the address reports; they may be out of date.
	Usage(ctx context.Context, server netip.AddrPort) (ServerUsage, error)
	// Reserve reserves memory at the server, or renews the reservation. The notice is that of the response, also of a refusal.
	// Errors: ErrRefused if the memory is not free, ErrUnavailable, ErrUncertain.
	Reserve(ctx context.Context, server netip.AddrPort, reservation Reservation) (ServerNotice, error)
	// Free releases a reservation; an unknown reservation is not an error.
	Free(ctx context.Context, server netip.AddrPort, name string) (ServerNotice, error)
}

// BackendResponse is a backend server's response while it is being received.
type BackendResponse interface {
	// Head returns the head of the response.
	Head() ResponseHead
	// Next returns the next chunk. At the end it returns io.EOF if the response is verified as complete, else ErrBroken.
	Next() (Chunk, error)
	// Close discards the rest of the response; the server stops processing a request that has not finished.
	Close()
}

// ResponseWriter receives the response to an exchange.
type ResponseWriter interface {
	// WriteHead writes the head of the response.
	WriteHead(head ResponseHead) error
	// WriteChunk writes a chunk of the response and flushes it.
	WriteChunk(chunk Chunk) error
}

// Engine is the interface to the backend servers that run models.
type Engine interface {
	// Stream runs a request under the permit and passes each frame to accept, which may stop it by returning an error.
	// Errors: ErrUnavailable, ErrRefused (not executed), ErrUnknown (the stream or the source no longer exists, not executed),
	// ErrBroken, or the error of accept.
	Stream(ctx context.Context, call EngineCall, accept func(Frame) error) error
	// Prefill processes a part of a prompt and keeps its KV memory under the permit's stream until the stream is cancelled.
	// Errors: as for Stream.
	Prefill(ctx context.Context, call EngineCall) error
	// Cancel ends a stream and frees its memory; an unknown stream is not an error.
	// Errors: ErrUnavailable if no connection could be established, ErrBroken if the connection broke, ErrUncertain if the
	// server reports a failure.
	Cancel(ctx context.Context, server netip.AddrPort, stream StreamID) error
	// Report returns the server's report, which may be out of date.
	Report(ctx context.Context, server netip.AddrPort) (ServerReport, error)
	// Order instructs the server to load or unload a model.
	// Errors: ErrFenced if the fencing number is stale, ErrRefused if the server cannot do it now, else as for Cancel.
	Order(ctx context.Context, server netip.AddrPort, order Order) error
}

// EngineCall is one attempt to run a request at a backend server.
type EngineCall struct {
	Permit Permit
	// Attempt is the number of the call within its stream; frames of other attempts must be ignored.
	Attempt int
	Model   ModelID
	Prompt  string
	// DeliveredText is the text of the answer so far; DeliveredTokens is its length in tokens.
	DeliveredText   string
	DeliveredTokens int
	// KVSources are the prompt parts that precede Prompt and whose KV memory is at other servers.
	KVSources []KVSource
	// MigrateFrom is the request's stream at a server whose maintenance window starts soon. The called server copies the
	// stream's KV memory and processes only what the copy lacks; nil for none.
	MigrateFrom *KVSource
	// Reconnect resumes the stream that the server already runs instead of starting a new one.
	Reconnect bool
	// OutputTokens is the maximum number of tokens of the whole answer.
	OutputTokens int
	Deadline     time.Time
}

// KVSource is a prompt part that a server has processed and whose KV memory it exports.
type KVSource struct {
	Address netip.AddrPort
	Stream  StreamID
}

// ServiceClient calls plain services.
type ServiceClient interface {
	// Call sends the call to the endpoint at most once.
	// Errors: ErrUnavailable, ErrRefused (not executed) or ErrUncertain.
	Call(ctx context.Context, endpoint Endpoint, call ServiceCall) (ServiceResponse, error)
}

// PeerClient sends requests to the other entry VMs.
type PeerClient interface {
	// Acquire waits for a permit from the owner; the request is withdrawn when ctx ends.
	Acquire(ctx context.Context, owner VM, request PermitRequest) (Permit, error)
	// Release returns a permit to its owner.
	Release(ctx context.Context, owner VM, release PermitRelease) error
	// ExchangeHeartbeat sends a heartbeat and returns the heartbeat of the other VM.
	ExchangeHeartbeat(ctx context.Context, to VM, heartbeat Heartbeat) (Heartbeat, error)
	// ConfigEntries returns the configuration entries that the other VM has, starting at the offset.
	ConfigEntries(ctx context.Context, to VM, from Offset) (LogPage, error)
	// ReportCrash reports to another entry VM that a backend server crashed while running the requests with the fingerprints.
	ReportCrash(ctx context.Context, to VM, crash ServerCrash) error
	// Prefilled reports to the owner that the permit's prompt has been processed.
	Prefilled(ctx context.Context, owner VM, stream StreamID) error
}

// PeerHandler handles requests from the other entry VMs.
type PeerHandler interface {
	// Acquire queues a request for a permit from this VM; done is called once unless withdraw is called before.
	Acquire(request PermitRequest, done func(Permit, error)) (withdraw func())
	// Release handles the return of a permit.
	Release(release PermitRelease)
	// ExchangeHeartbeat handles a heartbeat and returns the heartbeat of this VM.
	ExchangeHeartbeat(heartbeat Heartbeat) Heartbeat
	// ConfigEntries returns the configuration entries starting at the offset.
	ConfigEntries(from Offset) LogPage
	// ReportCrash handles the report of a server crash.
	ReportCrash(crash ServerCrash)
	// Prefilled records that the permit's prompt has been processed.
	Prefilled(stream StreamID)
}

// Owner grants permits for the backend servers that this VM owns.
type Owner interface {
	// RequestPermit queues a request for a permit; done is called once unless withdraw is called before.
	RequestPermit(request PermitRequest, done func(Permit, error)) (withdraw func())
	// Prefilled records that the permit's prompt has been processed.
	Prefilled(stream StreamID)
	// Release handles the return of a permit.
	Release(release PermitRelease)
	// RejectUnservable rejects the queued requests that can no longer be served.
	RejectUnservable()
}

// Placement ranks the candidates at which a request may run.
type Placement interface {
	// Sort sorts the candidates, best first.
	Sort(candidates []Candidate)
}

// Candidate is an owner or a backend server at which a request may run.
type Candidate struct {
	// Name is the identifier of the VM or server.
	Name string
	// Wait is the predicted time until the request starts there.
	Wait time.Duration
	// NetworkDelay is the additional network latency.
	NetworkDelay time.Duration
	// CacheSavings is the prompt processing time that a cached prefix is expected to save.
	CacheSavings time.Duration
	// InFlight is the number of requests in flight there.
	InFlight int
	// Free is the free KV memory in tokens.
	Free int
}

// QueuedRequest is a permit request in an owner's queue.
type QueuedRequest struct {
	Request  PermitRequest
	QueuedAt time.Time
	// Boosted is set by the queue when the request is served early because its rank is below its minimum share.
	Boosted bool
	// Done is called once with the permit or the refusal, while no lock is held.
	Done func(Permit, error)
}

// Queue orders the requests that wait at an owner.
type Queue interface {
	// Push adds a request.
	Push(queued *QueuedRequest, now time.Time)
	// Remove removes a request and reports whether it was queued.
	Remove(queued *QueuedRequest) bool
	// Pop removes and returns the first request in queue order for which fit returns true.
	Pop(now time.Time, fit func(*QueuedRequest) bool) *QueuedRequest
	// Charge adds the tokens served to a client account at a rank to its fair-share accounting.
	Charge(rank Rank, account AccountID, weight float64, tokens int, now time.Time)
	// PredictWait predicts how long a new request would wait at a service rate of rate tokens per second.
	PredictWait(request *PermitRequest, rate float64, now time.Time) time.Duration
	// Backlog returns the number of queued prompt tokens of the model, up to and including the rank.
	Backlog(model ModelID, rank Rank) int
	// BelowMinShare reports whether the rank has received less than its minimum share.
	BelowMinShare(rank Rank) bool
	// Len returns the number of queued requests.
	Len() int
	// PopExpired removes and returns the requests whose latest start has passed.
	PopExpired(now time.Time) []*QueuedRequest
	// Filter removes and returns the requests for which keep returns false.
	Filter(keep func(*QueuedRequest) bool) []*QueuedRequest
}

// Meter counts events and records durations.
type Meter interface {
	// Add adds to a counter.
	Add(counter Counter, delta int64)
	// Observe records a duration for a rank and length class.
	Observe(measure Measure, rank Rank, class LengthClass, duration time.Duration)
	// RecordResult records the result of an exchange.
	RecordResult(result ExchangeResult)
}

// Counter is the name of an event counter.
type Counter string

// Measure is the name of a recorded duration.
type Measure string

// Logger logs state changes.
type Logger interface {
	// Info logs a message with key-value pairs at info level.
	Info(message any, pairs ...any)
	// Warn logs a message with key-value pairs at warning level.
	Warn(message any, pairs ...any)
}

// Sink receives the answer to a caller frame by frame.
type Sink interface {
	// Accept accepts the next frame in order; an error cancels the request.
	Accept(frame Frame) error
}
