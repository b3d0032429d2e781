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
	Buffered int64     `json:"buffered"`
	Waiting  int       `json:"waiting"`
	Members  []Member  `json:"members"`
	Servers  []Server  `json:"servers"`
	Permits  []Permit  `json:"permits"`
	Claims   []Claim   `json:"claims"`
	Suspects []Suspect `json:"suspects"`
}

// Member is the JSON form of another entry VM.
type Member struct {
	VM          string    `json:"vm"`
	Zone        string    `json:"zone"`
	Address     string    `json:"address"`
	State       string    `json:"state"`
	Incarnation uint64    `json:"incarnation"`
	Heard       time.Time `json:"heard"`
	Config      uint64    `json:"config"`
}

// Server is the JSON form of an owned backend server.
type Server struct {
	ID        string `json:"id"`
	Reachable bool   `json:"reachable"`
	Epoch     uint64 `json:"epoch"`
	// Memory, Reserved and Free are in tokens.
	Memory   int        `json:"memory"`
	Reserved int        `json:"reserved"`
	Free     int        `json:"free"`
	Streams  int        `json:"streams"`
	Slots    int        `json:"slots"`
	Closing  *time.Time `json:"closing,omitempty"`
}

// Permit is the JSON form of a live permit.
type Permit struct {
	VM       string    `json:"vm"`
	Sequence uint64    `json:"sequence"`
	Server   string    `json:"server"`
	Account  string    `json:"account"`
	Rank     string    `json:"rank"`
	Tokens   int       `json:"tokens"`
	Granted  time.Time `json:"granted"`
	Heard    time.Time `json:"heard"`
	Orphan   bool      `json:"orphan"`
}

// Suspect is the JSON form of a request that may crash backend servers.
type Suspect struct {
	Account string    `json:"account"`
	Model   string    `json:"model"`
	Crashes int       `json:"crashes"`
	Until   time.Time `json:"until"`
}

// SetMembers fills in the other entry VMs.
func (s *State) SetMembers(members []dragonflypass.Member) {
	s.Members = make([]Member, 0, len(members))
	for _, m := range members {
		s.Members = append(s.Members, Member{
			VM: string(m.VM.ID), Zone: string(m.VM.Zone), Address: m.VM.Peer.String(), State: m.State.String(),
			Incarnation: m.Incarnation, Heard: m.Heard, Config: uint64(m.Config),
		})
	}
}

// SetOwned fills in the owned servers and their permits.
func (s *State) SetOwned(owned scheduler.State) {
	s.Waiting = owned.Waiting
	s.Servers = make([]Server, 0, len(owned.Servers))
	for _, row := range owned.Servers {
		server := Server{
			ID: string(row.Server), Reachable: row.Reachable, Epoch: row.Epoch, Memory: row.Memory,
			Reserved: row.Reserved, Free: row.Free, Streams: row.Streams, Slots: row.Slots,
		}
		if !row.Closing.IsZero() {
			server.Closing = &row.Closing
		}
		s.Servers = append(s.Servers, server)
	}
	s.Permits = make([]Permit, 0, len(owned.Permits))
	for _, row := range owned.Permits {
		s.Permits = append(s.Permits, Permit{
			VM: string(row.Stream.VM), Sequence: row.Stream.Sequence, Server: string(row.Server), Account: string(row.Account),
			Rank: row.Rank, Tokens: row.Tokens, Granted: row.Granted, Heard: row.Heard, Orphan: row.Orphan,
		})
	}
}

// SetClaims fills in the claims without a known outcome.
func (a *Administrator) SetClaims(s *State) { s.Claims = a.claims() }

// SetSuspects fills in the requests that may crash backend servers.
func (s *State) SetSuspects(rows []quarantiner.Row) {
	s.Suspects = make([]Suspect, 0, len(rows))
	for _, row := range rows {
		s.Suspects = append(s.Suspects, Suspect{Account: string(row.Account), Model: string(row.Model), Crashes: row.Crashes, Until: row.Until})
	}
}
