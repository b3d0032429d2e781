package exposer

import (
	"net/netip"
	"time"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/composer"
)

// Dump is the state of an entry VM that relays exchanges; JSON names that end in _ms are durations in milliseconds.
type Dump struct {
	VM             dragonflypass.VMID             `json:"vm"`
	Zone           dragonflypass.AvailabilityZone `json:"zone"`
	Incarnation    uint64                         `json:"incarnation"`
	At             time.Time                      `json:"at"`
	Ready          bool                           `json:"ready"`
	Leaving        bool                           `json:"leaving"`
	OpenRequests   int                            `json:"requests"`
	RoutingVersion uint64                         `json:"routing"`
	Topics         []Topic                        `json:"topics"`
	Members        []Member                       `json:"members"`
	// Zones are the numbers of live VMs by zone, and Hubs the hubs of all zones.
	Zones map[dragonflypass.AvailabilityZone]int `json:"zones"`
	// EvacuatedZones are the zones whose servers receive no new work.
	EvacuatedZones []EvacuatedZone      `json:"evacuated"`
	Hubs           []dragonflypass.VMID `json:"hubs"`
	Owners         []Owner              `json:"owners"`
	Registry       []RegistryEntry      `json:"registry"`
	FailingServers []FailingServer      `json:"failing"`
	// ColdServers are the backend servers that are warming up.
	ColdServers []ColdServer `json:"cold"`
	// ExcludedServers are the backend servers that expect no new requests from this VM.
	ExcludedServers []ExcludedServer `json:"excluded"`
	QueuedRequests  int              `json:"waiting"`
	Servers         []Server         `json:"servers"`
	Streams         []Stream         `json:"streams"`
	Budgets         []Budget         `json:"budgets"`
	Suspects        []Suspect        `json:"suspects"`
	Parts           []SuspectPart    `json:"parts"`
	// CostKeys is the number of keys with a learned cost of requests.
	CostKeys    int          `json:"cost_keys"`
	SlowServers []SlowServer `json:"slow"`
}

// Topic describes the local copy of a topic of the store: the offset up to which it was read
// and the time since it was last known to be current.
type Topic struct {
	Topic dragonflypass.Topic `json:"topic"`
	// Era is the number of the store's era in which the copy was read, or "unknown".
	Era       string `json:"era"`
	EndOffset uint64 `json:"end"`
	Loaded    bool   `json:"known"`
	Staleness int64  `json:"age_ms"`
	// Readers are the VMs that read the topic from the store.
	Readers []dragonflypass.VMID `json:"readers"`
}

// Member is another entry VM.
type Member struct {
	VM            dragonflypass.VMID             `json:"vm"`
	Zone          dragonflypass.AvailabilityZone `json:"zone"`
	Peer          netip.AddrPort                 `json:"peer"`
	State         string                         `json:"state"`
	LastHeartbeat time.Time                      `json:"heard"`
}

// Owner names the VM from which the permits of a shard are requested. Shard is empty if the service has a single one.
type Owner struct {
	Service dragonflypass.ServiceID `json:"service"`
	Shard   string                  `json:"shard,omitempty"`
	VM      dragonflypass.VMID      `json:"vm"`
	Load    *ShardLoad              `json:"load,omitempty"`
}

// ShardLoad is the load of a shard, as of some time ago.
type ShardLoad struct {
	Servers int   `json:"servers"`
	Slots   int   `json:"slots"`
	Streams int   `json:"streams"`
	Wait    int64 `json:"wait_ms"`
	Age     int64 `json:"age_ms"`
}

// RegistryEntry is a backend server in the registry.
type RegistryEntry struct {
	Server    dragonflypass.ServerID         `json:"server"`
	Service   dragonflypass.ServiceID        `json:"service"`
	Zone      dragonflypass.AvailabilityZone `json:"zone"`
	Address   netip.AddrPort                 `json:"address"`
	StartedAt int64                          `json:"born"`
}

// FailingServer is a backend server that has failed recently.
type FailingServer struct {
	Server       dragonflypass.ServerID `json:"server"`
	Failures     int                    `json:"failures"`
	Unreachable  bool                   `json:"unreached"`
	EjectedUntil time.Time              `json:"out"`
}

// EvacuatedZone is a zone whose servers receive no new work, with the time at which the VM learnt of its evacuation.
type EvacuatedZone struct {
	Zone  dragonflypass.AvailabilityZone `json:"zone"`
	Since time.Time                      `json:"since"`
}

// ColdServer is a backend server that is warming up, with the end of the warm-up as far as the VM knows.
type ColdServer struct {
	Server dragonflypass.ServerID `json:"server"`
	Until  time.Time              `json:"until"`
}

// ExcludedServer is a backend server that expects no new requests from this VM.
type ExcludedServer struct {
	Server    dragonflypass.ServerID `json:"server"`
	Address   netip.AddrPort         `json:"address"`
	StartedAt int64                  `json:"born"`
	Leaving   bool                   `json:"leaving"`
	// DeferredUntil is the end of the time for which the server wants no requests.
	DeferredUntil time.Time `json:"until"`
}

// Server is the load of a model server that this VM owns; Reserved is in tokens.
type Server struct {
	Service          dragonflypass.ServiceID `json:"service"`
	Server           dragonflypass.ServerID  `json:"server"`
	Streams          int                     `json:"streams"`
	Pending          int                     `json:"pending"`
	Reserved         int                     `json:"reserved"`
	ShortPromptsOnly bool                    `json:"short"`
}

// Stream is an open stream.
type Stream struct {
	ID           string                   `json:"id"`
	Service      dragonflypass.ServiceID  `json:"service"`
	Server       dragonflypass.ServerID   `json:"server"`
	Helpers      []dragonflypass.ServerID `json:"helpers,omitempty"`
	Owner        dragonflypass.VMID       `json:"owner"`
	StartedAt    time.Time                `json:"began"`
	FirstEventAt time.Time                `json:"first"`
	Prefilled    bool                     `json:"prefilled"`
	Deadline     time.Time                `json:"deadline"`
}

// Budget is the retry budget of a service; Balance is the number of retries available.
type Budget struct {
	Service dragonflypass.ServiceID `json:"service"`
	Balance float64                 `json:"saved"`
}

// SuspectPart is a shared part of prompts that may crash servers. Only prompts with all Required parts are refused and, if there is one
// account, only its own.
type SuspectPart struct {
	Model    dragonflypass.ModelID      `json:"model"`
	Part     dragonflypass.SharedPart   `json:"part"`
	Required []dragonflypass.SharedPart `json:"required"`
	Accounts []dragonflypass.AccountID  `json:"accounts"`
	Crashes  int                        `json:"crashes"`
	// Until is the end of the quarantine, zero if there was none.
	Until time.Time `json:"until"`
}

// SlowServer is a backend server that this VM finds slow; Pace is the factor by which it is slower than predicted.
type SlowServer struct {
	Server  dragonflypass.ServerID         `json:"server"`
	Service dragonflypass.ServiceID        `json:"service"`
	Zone    dragonflypass.AvailabilityZone `json:"zone"`
	Pace    float64                        `json:"pace"`
}

// Suspect is a request that may have crashed backend servers.
type Suspect struct {
	Account dragonflypass.AccountID `json:"account"`
	Model   dragonflypass.ModelID   `json:"model"`
	Crashes int                     `json:"crashes"`
	Until   time.Time               `json:"until"`
}

// newDump returns the JSON form of the state.
func newDump(s composer.RelayState, requests int) Dump {
	d := Dump{
		VM: s.Self.ID, Zone: s.Self.Zone, Incarnation: s.Incarnation, At: s.At, Ready: s.Ready, Leaving: s.Leaving,
		OpenRequests: requests, RoutingVersion: s.Routing, QueuedRequests: s.QueuedRequests, Zones: s.ZoneSizes, Hubs: s.Hubs, CostKeys: s.CostKeys,
	}
	for _, t := range s.Topics {
		d.Topics = append(d.Topics, Topic{Topic: t.Topic, Era: t.Era.String(), EndOffset: uint64(t.EndOffset), Loaded: t.Loaded, Staleness: t.Staleness.Milliseconds(), Readers: t.Readers})
	}
	for _, m := range s.Members {
		d.Members = append(d.Members, Member{VM: m.VM.ID, Zone: m.VM.Zone, Peer: m.VM.Peer, State: m.State.String(), LastHeartbeat: m.LastHeartbeat})
	}
	for _, o := range s.Owners {
		owner := Owner{Service: o.Service, Shard: o.Part.String(), VM: o.VM}
		if l := o.Load; l != nil {
			owner.Load = &ShardLoad{Servers: l.Servers, Slots: l.Slots, Streams: l.Streams, Wait: l.Wait().Milliseconds(), Age: o.LoadAge.Milliseconds()}
		}
		d.Owners = append(d.Owners, owner)
	}
	for _, e := range s.Registry {
		d.Registry = append(d.Registry, RegistryEntry{Server: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address, StartedAt: e.StartedAt})
	}
	for _, f := range s.FailingServers {
		d.FailingServers = append(d.FailingServers, FailingServer(f))
	}
	for _, z := range s.EvacuatedZones {
		d.EvacuatedZones = append(d.EvacuatedZones, EvacuatedZone(z))
	}
	for _, server := range s.ColdServers {
		d.ColdServers = append(d.ColdServers, ColdServer(server))
	}
	for _, server := range s.ExcludedServers {
		d.ExcludedServers = append(d.ExcludedServers, ExcludedServer(server))
	}
	for _, server := range s.Servers {
		d.Servers = append(d.Servers, Server(server))
	}
	for _, stream := range s.Streams {
		d.Streams = append(d.Streams, Stream{
			ID: stream.ID, Service: stream.Service, Server: stream.Server, Helpers: stream.Helpers, Owner: stream.Owner,
			StartedAt: stream.StartedAt, FirstEventAt: stream.FirstEventAt, Prefilled: stream.Prefilled, Deadline: stream.Deadline,
		})
	}
	for _, b := range s.Budgets {
		d.Budgets = append(d.Budgets, Budget(b))
	}
	for _, server := range s.SlowServers {
		d.SlowServers = append(d.SlowServers, SlowServer{Server: server.Server, Service: server.Service, Zone: server.Zone, Pace: server.Pace})
	}
	for _, suspect := range s.Suspects {
		d.Suspects = append(d.Suspects, Suspect(suspect))
	}
	for _, part := range s.SuspectParts {
		d.Parts = append(d.Parts, SuspectPart(part))
	}
	return d
}
