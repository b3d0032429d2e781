package administrator

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/scheduler"
)

// State is a dump of the state of a process; it contains no secrets.
type State struct {
	VM          string    `json:"vm"`
	Zone        string    `json:"zone"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
	Leaving     bool      `json:"leaving"`
	Ready       bool      `json:"ready"`
	// ConfigOffset is the log offset of the configuration in effect.
	ConfigOffset uint64 `json:"config"`
	// Busy is the number of callers' requests in progress, and OpenStreams the number of streams at backend servers.
	Busy        int `json:"busy"`
	OpenStreams int `json:"open"`
	// BufferedBytes is the memory held for callers.
	BufferedBytes  int64         `json:"buffered"`
	QueuedRequests int           `json:"waiting"`
	Members        []Member      `json:"members"`
	Servers        []Server      `json:"servers"`
	Permits        []Permit      `json:"permits"`
	Claims         []Claim       `json:"claims"`
	Suspects       []Suspect     `json:"suspects"`
	Parts          []SuspectPart `json:"parts"`
}

// Member is the JSON form of another entry VM.
type Member struct {
	VM            string    `json:"vm"`
	Zone          string    `json:"zone"`
	Address       string    `json:"address"`
	State         string    `json:"state"`
	Incarnation   uint64    `json:"incarnation"`
	LastHeartbeat time.Time `json:"heard"`
	ConfigOffset  uint64    `json:"config"`
}

// Server is the JSON form of a backend server that this VM owns.
type Server struct {
	ID        string `json:"id"`
	Reachable bool   `json:"reachable"`
	Epoch     uint64 `json:"epoch"`
	// KVCapacity, Reserved and Free are in tokens.
	KVCapacity      int        `json:"memory"`
	Reserved        int        `json:"reserved"`
	Free            int        `json:"free"`
	Streams         int        `json:"streams"`
	Slots           int        `json:"slots"`
	NextMaintenance *time.Time `json:"closing,omitempty"`
}

// Permit is the JSON form of an outstanding permit.
type Permit struct {
	VM        string    `json:"vm"`
	Sequence  uint64    `json:"sequence"`
	Server    string    `json:"server"`
	Account   string    `json:"account"`
	Rank      string    `json:"rank"`
	Tokens    int       `json:"tokens"`
	GrantedAt time.Time `json:"granted"`
	RenewedAt time.Time `json:"heard"`
	Orphan    bool      `json:"orphan"`
}

// Suspect is the JSON form of a request that may have crashed backend servers.
type Suspect struct {
	Account string    `json:"account"`
	Model   string    `json:"model"`
	Crashes int       `json:"crashes"`
	Until   time.Time `json:"until"`
}

// SuspectPart is a shared part of prompts that may crash servers. Only prompts with all Required parts are refused and, if there is one
// account, only its own.
type SuspectPart struct {
	Model    string   `json:"model"`
	Part     string   `json:"part"`
	Required []string `json:"required"`
	Accounts []string `json:"accounts"`
	Crashes  int      `json:"crashes"`
	// Until is the end of the quarantine, zero if there was none.
	Until time.Time `json:"until"`
}

// State returns a dump of the state of the process.
func (a *Administrator) State() State {
	core := a.Core
	state := State{
		VM: string(core.Options.Self.ID), Zone: string(core.Options.Self.Zone), Incarnation: core.Options.Incarnation,
		At: core.Ports.Timer.Now(), Leaving: core.Detector.Leaving(), Ready: core.Ready(),
		ConfigOffset: uint64(core.Configurer.Current().Offset),
		Busy:         core.Drainer.Busy(), OpenStreams: core.Dispatcher.OpenCount(), BufferedBytes: a.Rationer.Usage().Bytes,
		Members: members(core.Detector.Others()), Claims: a.claims(), Suspects: suspects(core.Quarantiner.Suspects()), Parts: suspectParts(core.Quarantiner.SuspectParts()),
	}
	owned := core.Scheduler.State()
	state.QueuedRequests, state.Servers, state.Permits = owned.QueuedRequests, servers(owned.Servers), permits(owned.Permits)
	return state
}

func members(peers []dragonflypass.Member) []Member {
	result := make([]Member, 0, len(peers))
	for _, m := range peers {
		result = append(result, Member{
			VM: string(m.VM.ID), Zone: string(m.VM.Zone), Address: m.VM.Peer.String(), State: m.State.String(),
			Incarnation: m.Incarnation, LastHeartbeat: m.LastHeartbeat, ConfigOffset: uint64(m.ConfigOffset),
		})
	}
	return result
}

func servers(states []scheduler.ServerState) []Server {
	result := make([]Server, 0, len(states))
	for _, state := range states {
		server := Server{
			ID: string(state.Server), Reachable: state.Reachable, Epoch: state.Epoch, KVCapacity: state.KVCapacity,
			Reserved: state.Reserved, Free: state.Free, Streams: state.Streams, Slots: state.Slots,
		}
		if !state.NextMaintenance.IsZero() {
			server.NextMaintenance = &state.NextMaintenance
		}
		result = append(result, server)
	}
	return result
}

func permits(states []scheduler.PermitState) []Permit {
	result := make([]Permit, 0, len(states))
	for _, state := range states {
		result = append(result, Permit{
			VM: string(state.Stream.VM), Sequence: state.Stream.Sequence, Server: string(state.Server), Account: string(state.Account),
			Rank: state.Rank, Tokens: state.Tokens, GrantedAt: state.GrantedAt, RenewedAt: state.RenewedAt, Orphan: state.Orphan,
		})
	}
	return result
}

func suspects(list []quarantiner.Suspect) []Suspect {
	result := make([]Suspect, 0, len(list))
	for _, suspect := range list {
		result = append(result, Suspect{Account: string(suspect.Account), Model: string(suspect.Model), Crashes: suspect.Crashes, Until: suspect.Until})
	}
	return result
}

func suspectParts(list []quarantiner.SuspectPart) []SuspectPart {
	result := make([]SuspectPart, 0, len(list))
	for _, part := range list {
		state := SuspectPart{Model: string(part.Model), Part: string(part.Part), Crashes: part.Crashes, Until: part.Until}
		for _, required := range part.Required {
			state.Required = append(state.Required, string(required))
		}
		for _, account := range part.Accounts {
			state.Accounts = append(state.Accounts, string(account))
		}
		result = append(result, state)
	}
	return result
}
