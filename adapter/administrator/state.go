package administrator

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/quarantiner"
	"github.com/dragonflypass/dragonflypass/core/scheduler"
)

// State is the dump of a process's tables; it holds no secrets.
type State struct {
	VM          string    `json:"vm"`
	Zone        string    `json:"zone"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
	Leaving     bool      `json:"leaving"`
	Ready       bool      `json:"ready"`
	// Config is the offset of the configuration in force.
	Config uint64 `json:"config"`
	// Busy counts callers' requests in progress, Open the streams at backend servers.
	Busy int `json:"busy"`
	Open int `json:"open"`
	// Buffered is the memory of request bodies in bytes.
	Buffered       int64     `json:"buffered"`
	QueuedRequests int       `json:"waiting"`
	Members        []Member  `json:"members"`
	Servers        []Server  `json:"servers"`
	Permits        []Permit  `json:"permits"`
	Claims         []Claim   `json:"claims"`
	Suspects       []Suspect `json:"suspects"`
}

// Member is the JSON form of another entry VM.
type Member struct {
	VM            string    `json:"vm"`
	Zone          string    `json:"zone"`
	Address       string    `json:"address"`
	State         string    `json:"state"`
	Incarnation   uint64    `json:"incarnation"`
	LastHeartbeat time.Time `json:"heard"`
	Config        uint64    `json:"config"`
}

// Server is the JSON form of an owned backend server.
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

// Permit is the JSON form of a live permit.
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

// Suspect is the JSON form of a request that may crash backend servers.
type Suspect struct {
	Account string    `json:"account"`
	Model   string    `json:"model"`
	Crashes int       `json:"crashes"`
	Until   time.Time `json:"until"`
}

// State returns the tables of the process.
func (a *Administrator) State() State {
	core := a.Core
	state := State{
		VM: string(core.Options.Self.ID), Zone: string(core.Options.Self.Zone), Incarnation: core.Options.Incarnation,
		At: core.Ports.Timer.Now(), Leaving: core.Detector.Leaving(), Ready: core.Ready(),
		Config: uint64(core.Configurer.Current().Offset),
		Busy:   core.Drainer.Busy(), Open: core.Dispatcher.Open(), Buffered: core.Admitter.Buffered(),
		Members: members(core.Detector.Others()), Claims: a.claims(), Suspects: suspects(core.Quarantiner.Suspects()),
	}
	owned := core.Scheduler.State()
	state.QueuedRequests, state.Servers, state.Permits = owned.QueuedRequests, servers(owned.Servers), permits(owned.Permits)
	return state
}

func members(rows []dragonflypass.Member) []Member {
	result := make([]Member, 0, len(rows))
	for _, m := range rows {
		result = append(result, Member{
			VM: string(m.VM.ID), Zone: string(m.VM.Zone), Address: m.VM.Peer.String(), State: m.State.String(),
			Incarnation: m.Incarnation, LastHeartbeat: m.LastHeartbeat, Config: uint64(m.ConfigOffset),
		})
	}
	return result
}

func servers(rows []scheduler.ServerState) []Server {
	result := make([]Server, 0, len(rows))
	for _, row := range rows {
		server := Server{
			ID: string(row.Server), Reachable: row.Reachable, Epoch: row.Epoch, KVCapacity: row.KVCapacity,
			Reserved: row.Reserved, Free: row.Free, Streams: row.Streams, Slots: row.Slots,
		}
		if !row.NextMaintenance.IsZero() {
			server.NextMaintenance = &row.NextMaintenance
		}
		result = append(result, server)
	}
	return result
}

func permits(rows []scheduler.PermitState) []Permit {
	result := make([]Permit, 0, len(rows))
	for _, row := range rows {
		result = append(result, Permit{
			VM: string(row.Stream.VM), Sequence: row.Stream.Sequence, Server: string(row.Server), Account: string(row.Account),
			Rank: row.Rank, Tokens: row.Tokens, GrantedAt: row.GrantedAt, RenewedAt: row.RenewedAt, Orphan: row.Orphan,
		})
	}
	return result
}

func suspects(rows []quarantiner.Suspect) []Suspect {
	result := make([]Suspect, 0, len(rows))
	for _, row := range rows {
		result = append(result, Suspect{Account: string(row.Account), Model: string(row.Model), Crashes: row.Crashes, Until: row.Until})
	}
	return result
}
