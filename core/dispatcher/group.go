package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/retrier"
	"github.com/dragonflypass/dragonflypass/core/waiter"
)

const (
	// reserveTime bounds the reserving of a group's servers; what was reserved until then is returned.
	reserveTime = 20 * time.Second
	// groupPause is the shortest time between two attempts to reserve a group.
	groupPause = time.Second
	// partMargin is the part of a server's memory that a group leaves unused.
	partMargin = 0.05
)

// group is the servers reserved together for a prompt that none of them holds alone, in the order of their addresses.
type group struct {
	id    uint64
	parts []part
}

// part is one server's share of the prompt.
type part struct {
	server *dragonflypass.BackendServer
	permit dragonflypass.Permit
	text   string
	// tokens is the estimated length of text.
	tokens int
	// sent is set once the text may have reached the server.
	sent bool
}

// head is the part at whose server the answer is generated: the last one.
func (g *group) head() *part { return &g.parts[len(g.parts)-1] }

// imports are the parts before the head.
func (g *group) imports() []dragonflypass.KVSource {
	imports := make([]dragonflypass.KVSource, 0, len(g.parts)-1)
	for _, p := range g.parts[:len(g.parts)-1] {
		imports = append(imports, dragonflypass.KVSource{Address: p.permit.Address, Stream: p.permit.Stream})
	}
	return imports
}

// needsGroup reports whether no declared server holds the request alone.
func (d *Dispatcher) needsGroup(j *job) bool {
	servers := d.Current().ServersOf(j.request.Model)
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *dragonflypass.BackendServer) bool {
		return s.KVCapacity >= j.request.Tokens()
	})
}

// grouped makes one attempt at a group of servers and returns the server at which it failed, empty when there was no group.
func (d *Dispatcher) grouped(ctx context.Context, j *job) (dragonflypass.TokenUsage, dragonflypass.ServerID, error) {
	g, err := d.reserve(ctx, j)
	if err != nil {
		return dragonflypass.TokenUsage{}, "", err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	failed, err := d.prefill(ctx, j, g, cancel)
	if err != nil {
		d.disband(ctx, g, g.parts)
		return dragonflypass.TokenUsage{}, failed, err
	}
	usage, err := d.stream(ctx, j, g.head().permit, g)
	d.disband(ctx, g, g.parts[:len(g.parts)-1])
	return usage, g.head().server.ID, err
}

// reserve gets a group whose servers are all reserved, trying until the request cannot end in time any more.
func (d *Dispatcher) reserve(ctx context.Context, j *job) (*group, error) {
	for number := 1; ; number++ {
		g, err := d.reserveOnce(ctx, j)
		if err == nil || ctx.Err() != nil {
			return g, err
		}
		late := !d.Timer.Now().Before(d.latestStart(j, d.Current()))
		if late || !d.possible(j) || !waiter.Wait(ctx, d.Timer, groupPause+retrier.Delay(number)) {
			return nil, err
		}
	}
}

// reserveOnce plans a group and gets a permit of each of its servers, all or none.
func (d *Dispatcher) reserveOnce(ctx context.Context, j *job) (*group, error) {
	g := d.plan(j)
	if g == nil {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second,
			"no group of backend servers of one zone holds %d tokens", j.request.Tokens())
	}
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(reserveTime))
	defer cancel()
	for i := range g.parts {
		permit, err := d.reservePart(ctx, j, g, i)
		if err != nil {
			d.disband(ctx, g, g.parts[:i])
			return nil, dragonflypass.Refuse(dragonflypass.ReasonBusy, reserveTime, "the servers of a group did not come free together")
		}
		g.parts[i].permit = permit
	}
	return g, nil
}

// reservePart asks the owner of the part's server for a permit.
func (d *Dispatcher) reservePart(ctx context.Context, j *job, g *group, i int) (dragonflypass.Permit, error) {
	p := &g.parts[i]
	request := d.permitRequest(j)
	request.PromptTokens, request.OutputTokens, request.ExpectedTokens = p.tokens, 0, 0
	if p == g.head() {
		request.PromptTokens += j.tokens
		request.OutputTokens = max(1, j.request.OutputTokens-j.tokens)
	}
	request.PinnedServer, request.Group = p.server.ID, g.id
	owner, ok := d.ownerOf(p.server.ID)
	if !ok {
		return dragonflypass.Permit{}, dragonflypass.ErrUnavailable
	}
	return d.ask(ctx, owner, request)
}

// ownerOf returns the VM that owns the server.
func (d *Dispatcher) ownerOf(server dragonflypass.ServerID) (dragonflypass.VM, bool) {
	id := d.Owner(server)
	if id == d.Self.ID {
		return d.Self, true
	}
	for _, member := range d.Owners.Others() {
		if member.VM.ID == id {
			return member.VM, true
		}
	}
	return dragonflypass.VM{}, false
}

// prefill has the parts before the head processed one after the other, each with those before it.
func (d *Dispatcher) prefill(ctx context.Context, j *job, g *group, cancel context.CancelCauseFunc) (dragonflypass.ServerID, error) {
	imports := g.imports()
	for i := range imports {
		p := &g.parts[i]
		d.hold(j, p.permit, p.tokens, 0, cancel)
		err := d.Engine.Prefill(ctx, dragonflypass.EngineCall{
			Permit: p.permit, Model: j.request.Model, Prompt: p.text, KVSources: imports[:i], Deadline: j.request.Deadline,
		})
		p.sent = reached(err)
		j.sent = j.sent || p.sent
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errMoved) || errors.Is(cause, errStalled) {
				err = cause
			}
			return p.server.ID, err
		}
		// A processed part makes no progress of its own while the others follow.
		d.rest(p.permit.Stream, j.request.Deadline)
	}
	return "", nil
}

// rest lifts the watch over a stream's progress until the instant.
func (d *Dispatcher) rest(stream dragonflypass.StreamID, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if h, ok := d.held[stream]; ok {
		h.stalls.Store(until.UnixNano())
	}
}

// disband returns the memory and the permits of the group's parts.
func (d *Dispatcher) disband(ctx context.Context, g *group, parts []part) {
	for i := range parts {
		p := &parts[i]
		d.unhold(p.permit.Stream)
		release := dragonflypass.PermitRelease{Stream: p.permit.Stream, Server: p.server.ID, Outcome: dragonflypass.OutcomeUnsent}
		if p.sent {
			release.Outcome = d.cancel(ctx, p.permit)
		}
		d.release(p.permit.Owner, release)
	}
}

// plan chooses the zone that needs the fewest servers for the request, of
// several the one with the most free memory, leaving at least one server of the
// model to other work; nil when no zone can hold it.
func (d *Dispatcher) plan(j *job) *group {
	current := d.Current()
	zones := make(map[dragonflypass.AvailabilityZone][]room)
	total := 0
	for _, load := range d.loads() {
		server := current.Servers[load.Server]
		if server == nil || !serves(server, &load, j.request.Model) {
			continue
		}
		total++
		if !slices.Contains(j.exclude, server.ID) && !d.closes(j, load) {
			zones[server.Zone] = append(zones[server.Zone], room{server: server, free: load.Free})
		}
	}
	var best []room
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		chosen := choose(zones[zone], j.request.Tokens())
		if chosen == nil || len(chosen) >= total {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(chosen), len(best)), cmp.Compare(freeOf(best), freeOf(chosen))) < 0 {
			best = chosen
		}
	}
	if best == nil {
		return nil
	}
	g := divide(j, best)
	g.id = d.sequence.Add(1)
	return g
}

// possible reports whether the declared servers of some zone could hold the request, with one left to other work.
func (d *Dispatcher) possible(j *job) bool {
	servers := d.Current().ServersOf(j.request.Model)
	zones := make(map[dragonflypass.AvailabilityZone][]room)
	for _, server := range servers {
		zones[server.Zone] = append(zones[server.Zone], room{server: server})
	}
	for _, rooms := range zones {
		if chosen := choose(rooms, j.request.Tokens()); chosen != nil && len(chosen) < len(servers) {
			return true
		}
	}
	return false
}

// loads returns the digests of all servers that an owner reported.
func (d *Dispatcher) loads() []dragonflypass.ServerLoad {
	loads := slices.Clone(d.Local.Loads())
	for _, member := range d.Owners.Others() {
		if member.State == dragonflypass.MemberLive {
			loads = append(loads, member.Loads...)
		}
	}
	return loads
}

// closes reports whether the server's next window comes before the request's end.
func (d *Dispatcher) closes(j *job, load dragonflypass.ServerLoad) bool {
	if load.NextMaintenance.IsZero() {
		return false
	}
	prefill, decode := rates(d.Current(), j.request.Model)
	whole := seconds(float64(j.request.PromptTokens)/prefill)*boundPrefillSlack +
		time.Duration(boundDecodeSlack*float64(seconds(float64(j.request.OutputTokens)/decode)))
	return d.Timer.Now().Add(reserveTime + whole).After(load.NextMaintenance)
}

// room is a server with its free memory in tokens.
type room struct {
	server *dragonflypass.BackendServer
	free   int
}

func (r room) capacity() int { return int(float64(r.server.KVCapacity) * (1 - partMargin)) }

// freeOf sums the free memory of the servers in tokens.
func freeOf(rooms []room) int {
	free := 0
	for _, r := range rooms {
		free += r.free
	}
	return free
}

// choose returns the fewest servers whose memory holds the tokens, those with the most free first; nil when all do not.
func choose(rooms []room, tokens int) []room {
	slices.SortFunc(rooms, func(a, b room) int {
		return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(b.capacity(), a.capacity()), cmp.Compare(a.server.ID, b.server.ID))
	})
	sum := 0
	for i, r := range rooms {
		sum += r.capacity()
		if sum >= tokens {
			return rooms[:i+1]
		}
	}
	return nil
}

// divide shares the prompt out over the servers in the order of their addresses.
func divide(j *job, rooms []room) *group {
	slices.SortFunc(rooms, func(a, b room) int { return a.server.Address.Compare(b.server.Address) })
	sum := -j.request.OutputTokens
	for _, r := range rooms {
		sum += r.capacity()
	}
	g := &group{}
	text, done := j.request.Prompt, 0
	for i, r := range rooms {
		capacity := r.capacity()
		if i == len(rooms)-1 {
			g.parts = append(g.parts, part{server: r.server, text: text[done:], tokens: tokensOf(j, len(text)-done)})
			return g
		}
		end := boundary(text, done+int(float64(len(text))*float64(capacity)/float64(sum)))
		g.parts = append(g.parts, part{server: r.server, text: text[done:end], tokens: tokensOf(j, end-done)})
		done = end
	}
	return g
}

// tokensOf is the part of the prompt's estimated tokens that falls to so many of its bytes.
func tokensOf(j *job, bytes int) int {
	return (j.request.PromptTokens*bytes + len(j.request.Prompt) - 1) / len(j.request.Prompt)
}

// boundary returns the last start of a character at or before the position.
func boundary(text string, position int) int {
	position = min(position, len(text))
	for position > 0 && position < len(text) && !utf8.RuneStart(text[position]) {
		position--
	}
	return position
}
