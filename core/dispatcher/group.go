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
	// reserveTimeout bounds the reservation of a group's servers; servers reserved by then are released.
	reserveTimeout = 20 * time.Second
	// groupRetryInterval is the shortest time between two attempts to reserve a group.
	groupRetryInterval = time.Second
	// memoryMargin is the fraction of a server's memory that a group leaves unused.
	memoryMargin = 0.05
)

// group is a set of servers that are reserved together for a request that does not fit on any single server.
// Its parts are in the order of the servers' addresses.
type group struct {
	id    uint64
	parts []promptPart
}

// promptPart is the part of the prompt that one server prefills.
type promptPart struct {
	server *dragonflypass.BackendServer
	permit dragonflypass.Permit
	text   string
	// tokens is the estimated length of text.
	tokens int
	// maybeExecuted is set once the text may have reached the server.
	maybeExecuted bool
}

// decodePart returns the last part; its server generates the answer.
func (g *group) decodePart() *promptPart { return &g.parts[len(g.parts)-1] }

// kvSources returns the streams of the parts before the last one, whose KV memory the last server uses.
func (g *group) kvSources() []dragonflypass.KVSource {
	sources := make([]dragonflypass.KVSource, 0, len(g.parts)-1)
	for _, p := range g.parts[:len(g.parts)-1] {
		sources = append(sources, dragonflypass.KVSource{Address: p.permit.Address, Stream: p.permit.Stream})
	}
	return sources
}

// needsGroup reports whether no configured server has enough memory for the request.
func (d *Dispatcher) needsGroup(j *job) bool {
	servers := d.Current().ServersOf(j.request.Model)
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(s *dragonflypass.BackendServer) bool {
		return s.KVCapacity >= j.request.Tokens()
	})
}

// attemptGroup makes one attempt at a group of servers. It returns the ID of the server that failed or, if the prefill
// of all parts succeeded, of the decode server; the ID is empty if no group was reserved.
func (d *Dispatcher) attemptGroup(ctx context.Context, j *job) (dragonflypass.TokenUsage, dragonflypass.ServerID, error) {
	g, err := d.reserveGroup(ctx, j)
	if err != nil {
		return dragonflypass.TokenUsage{}, "", err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	failedServer, err := d.prefillParts(ctx, j, g, cancel)
	if err != nil {
		d.releaseParts(ctx, g, g.parts)
		return dragonflypass.TokenUsage{}, failedServer, err
	}
	usage, err := d.runAttempt(ctx, j, g.decodePart().permit, g)
	d.releaseParts(ctx, g, g.parts[:len(g.parts)-1])
	return usage, g.decodePart().server.ID, err
}

// reserveGroup reserves all servers of a group. It retries until the request can no longer finish in time.
func (d *Dispatcher) reserveGroup(ctx context.Context, j *job) (*group, error) {
	for attempt := 1; ; attempt++ {
		g, err := d.reserveGroupOnce(ctx, j)
		if err == nil || ctx.Err() != nil {
			return g, err
		}
		tooLate := !d.Timer.Now().Before(d.latestStart(j, d.Current()))
		if tooLate || !d.canFormGroup(j) || !waiter.Wait(ctx, d.Timer, groupRetryInterval+retrier.Delay(attempt)) {
			return nil, err
		}
	}
}

// reserveGroupOnce plans a group and gets a permit for each of its servers, or for none.
func (d *Dispatcher) reserveGroupOnce(ctx context.Context, j *job) (*group, error) {
	g := d.planGroup(j)
	if g == nil {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonNoServer, time.Second,
			"no group of backend servers in one zone can hold %d tokens", j.request.Tokens())
	}
	ctx, cancel := d.Timer.WithDeadline(ctx, d.Timer.Now().Add(reserveTimeout))
	defer cancel()
	for i := range g.parts {
		permit, err := d.reservePart(ctx, j, g, i)
		if err != nil {
			d.releaseParts(ctx, g, g.parts[:i])
			return nil, dragonflypass.Refuse(dragonflypass.ReasonBusy, reserveTimeout, "the servers of a group were not free at the same time")
		}
		g.parts[i].permit = permit
	}
	return g, nil
}

// reservePart requests a permit for the part's server from its owner.
func (d *Dispatcher) reservePart(ctx context.Context, j *job, g *group, i int) (dragonflypass.Permit, error) {
	p := &g.parts[i]
	request := d.newPermitRequest(j)
	request.PromptTokens, request.OutputTokens, request.ExpectedTokens = p.tokens, 0, 0
	if p == g.decodePart() {
		request.PromptTokens += j.deliveredTokens
		request.OutputTokens = max(1, j.request.OutputTokens-j.deliveredTokens)
	}
	request.PinnedServer, request.Group = p.server.ID, g.id
	owner, ok := d.ownerOf(p.server.ID)
	if !ok {
		return dragonflypass.Permit{}, dragonflypass.ErrUnavailable
	}
	return d.requestPermit(ctx, owner, request)
}

// ownerOf returns the VM that owns the server.
func (d *Dispatcher) ownerOf(server dragonflypass.ServerID) (dragonflypass.VM, bool) {
	id := d.OwnerOf(server)
	if id == d.Self.ID {
		return d.Self, true
	}
	for _, member := range d.Members.Others() {
		if member.VM.ID == id {
			return member.VM, true
		}
	}
	return dragonflypass.VM{}, false
}

// prefillParts prefills the parts before the last one in order. Each server uses the KV memory of the parts
// before its own. On an error it returns the ID of the server that failed.
func (d *Dispatcher) prefillParts(ctx context.Context, j *job, g *group, cancel context.CancelCauseFunc) (dragonflypass.ServerID, error) {
	sources := g.kvSources()
	for i := range sources {
		p := &g.parts[i]
		d.trackStream(j, p.permit, p.tokens, 0, cancel)
		err := d.Engine.Prefill(ctx, dragonflypass.EngineCall{
			Permit: p.permit, Model: j.request.Model, Prompt: p.text, KVSources: sources[:i], Deadline: j.request.Deadline,
		})
		p.maybeExecuted = mayHaveExecuted(err)
		j.maybeExecuted = j.maybeExecuted || p.maybeExecuted
		if err != nil {
			if cause := context.Cause(ctx); errors.Is(cause, errServerMaintenance) || errors.Is(cause, errStalled) {
				err = cause
			}
			return p.server.ID, err
		}
		// The stream of a prefilled part sends no frames while the later parts are prefilled.
		d.suspendStallCheck(p.permit.Stream, j.request.Deadline)
	}
	return "", nil
}

// suspendStallCheck exempts the stream from the stall check until the given time.
func (d *Dispatcher) suspendStallCheck(stream dragonflypass.StreamID, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if s, ok := d.openStreams[stream]; ok {
		s.stallDeadline.Store(until.UnixNano())
	}
}

// releaseParts releases the memory and the permits of the parts.
func (d *Dispatcher) releaseParts(ctx context.Context, g *group, parts []promptPart) {
	for i := range parts {
		p := &parts[i]
		d.untrackStream(p.permit.Stream)
		release := dragonflypass.PermitRelease{Stream: p.permit.Stream, Server: p.server.ID, Outcome: dragonflypass.OutcomeUnsent}
		if p.maybeExecuted {
			release.Outcome = d.cancelStream(ctx, p.permit)
		}
		d.releasePermit(p.permit.Owner, release)
	}
}

// planGroup selects servers in the zone that needs the fewest of them for the request; among equal zones it prefers
// the one whose selected servers have the most free memory. At least one server of the model is left for other requests.
// It returns nil if no zone can hold the request.
func (d *Dispatcher) planGroup(j *job) *group {
	current := d.Current()
	zones := make(map[dragonflypass.AvailabilityZone][]candidateServer)
	total := 0
	for _, load := range d.serverLoads() {
		server := current.Servers[load.Server]
		if server == nil || !servesModel(server, &load, j.request.Model) {
			continue
		}
		total++
		if !slices.Contains(j.excludedServers, server.ID) && !d.windowBeforeEnd(j, load) {
			zones[server.Zone] = append(zones[server.Zone], candidateServer{server: server, freeTokens: load.Free})
		}
	}
	var best []candidateServer
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		chosen := chooseServers(zones[zone], j.request.Tokens())
		if chosen == nil || len(chosen) >= total {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(len(chosen), len(best)), cmp.Compare(totalFreeTokens(best), totalFreeTokens(chosen))) < 0 {
			best = chosen
		}
	}
	if best == nil {
		return nil
	}
	g := dividePrompt(j, best)
	g.id = d.sequence.Add(1)
	return g
}

// canFormGroup reports whether the configured servers of some zone can hold the request and at least one server of
// the model is left for other requests.
func (d *Dispatcher) canFormGroup(j *job) bool {
	servers := d.Current().ServersOf(j.request.Model)
	zones := make(map[dragonflypass.AvailabilityZone][]candidateServer)
	for _, server := range servers {
		zones[server.Zone] = append(zones[server.Zone], candidateServer{server: server})
	}
	for _, candidates := range zones {
		if chosen := chooseServers(candidates, j.request.Tokens()); chosen != nil && len(chosen) < len(servers) {
			return true
		}
	}
	return false
}

// serverLoads returns the load summaries of the servers owned by this VM and by the other live VMs.
func (d *Dispatcher) serverLoads() []dragonflypass.ServerLoad {
	loads := slices.Clone(d.LocalOwner.Loads())
	for _, member := range d.Members.Others() {
		if member.State == dragonflypass.MemberLive {
			loads = append(loads, member.Loads...)
		}
	}
	return loads
}

// windowBeforeEnd reports whether the server's next maintenance window starts before the request would end.
func (d *Dispatcher) windowBeforeEnd(j *job, load dragonflypass.ServerLoad) bool {
	if load.NextMaintenance.IsZero() {
		return false
	}
	prefill, decode := slowestRates(d.Current(), j.request.Model)
	runTime := seconds(float64(j.request.PromptTokens)/prefill)*windowPrefillSlack +
		time.Duration(windowDecodeSlack*float64(seconds(float64(j.request.OutputTokens)/decode)))
	return d.Timer.Now().Add(reserveTimeout + runTime).After(load.NextMaintenance)
}

// candidateServer is a server with its free memory in tokens.
type candidateServer struct {
	server     *dragonflypass.BackendServer
	freeTokens int
}

func (s candidateServer) usableCapacity() int {
	return int(float64(s.server.KVCapacity) * (1 - memoryMargin))
}

// totalFreeTokens returns the free memory of all the servers in tokens.
func totalFreeTokens(servers []candidateServer) int {
	total := 0
	for _, s := range servers {
		total += s.freeTokens
	}
	return total
}

// chooseServers takes servers in descending order of free memory until they can hold the tokens.
// It returns nil if all of them together are too small.
func chooseServers(servers []candidateServer, tokens int) []candidateServer {
	slices.SortFunc(servers, func(a, b candidateServer) int {
		return cmp.Or(cmp.Compare(b.freeTokens, a.freeTokens), cmp.Compare(b.usableCapacity(), a.usableCapacity()), cmp.Compare(a.server.ID, b.server.ID))
	})
	total := 0
	for i, s := range servers {
		total += s.usableCapacity()
		if total >= tokens {
			return servers[:i+1]
		}
	}
	return nil
}

// dividePrompt divides the prompt among the servers in proportion to their memory, in the order of their addresses.
func dividePrompt(j *job, servers []candidateServer) *group {
	slices.SortFunc(servers, func(a, b candidateServer) int { return a.server.Address.Compare(b.server.Address) })
	total := -j.request.OutputTokens
	for _, s := range servers {
		total += s.usableCapacity()
	}
	g := &group{}
	text, offset := j.request.Prompt, 0
	for i, s := range servers {
		capacity := s.usableCapacity()
		if i == len(servers)-1 {
			g.parts = append(g.parts, promptPart{server: s.server, text: text[offset:], tokens: estimateTokens(j, len(text)-offset)})
			return g
		}
		end := runeBoundary(text, offset+int(float64(len(text))*float64(capacity)/float64(total)))
		g.parts = append(g.parts, promptPart{server: s.server, text: text[offset:end], tokens: estimateTokens(j, end-offset)})
		offset = end
	}
	return g
}

// estimateTokens returns the estimated number of tokens in the given number of bytes of the prompt, rounded up. It is
// proportional to the estimate for the whole prompt.
func estimateTokens(j *job, bytes int) int {
	return (j.request.PromptTokens*bytes + len(j.request.Prompt) - 1) / len(j.request.Prompt)
}

// runeBoundary returns the last start of a UTF-8 character at or before the position.
func runeBoundary(text string, position int) int {
	position = min(position, len(text))
	for position > 0 && position < len(text) && !utf8.RuneStart(text[position]) {
		position--
	}
	return position
}
