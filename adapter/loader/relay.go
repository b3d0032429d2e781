package loader

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

// defaultServerBodies is the number of the largest bodies that may be in flight to one server of a plain service.
const defaultServerBodies = 8

//go:embed relay.json
var relaySchema []byte

// RelaySettings are the validated settings of an entry VM that relays exchanges on the platform.
type RelaySettings struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Listen  RelayListen      `json:"listen"`
	Seeds   []netip.AddrPort `json:"seeds"`
	Store   RelayStore       `json:"store"`
	Log     Log              `json:"log"`
	Limits  RelayLimits      `json:"limits"`
	Times   RelayTimes       `json:"times"`
	Budget  RelayBudget      `json:"budget"`
	Workers int              `json:"workers"`
}

// RelayListen has the addresses on which the process listens; Metrics is the zero value if metrics are not served.
type RelayListen struct {
	Callers netip.AddrPort `json:"callers"`
	Probes  netip.AddrPort `json:"probes"`
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
}

// RelayStore has the address of the platform's store.
type RelayStore struct {
	Address netip.AddrPort `json:"address"`
}

// RelayLimits are the limits on the process and on callers' requests; MemoryMiB is in MiB. ProcessorShare is the share of
// a processor that the process may use, and ProcessorSpeed the speed of that processor relative to the fleet's usual one.
type RelayLimits struct {
	ProcessorShare float64          `json:"share"`
	ProcessorSpeed float64          `json:"speed"`
	MemoryMiB      int64            `json:"memory"`
	MaxBodyBytes   int64            `json:"body"`
	HeaderTimeout  encoder.Duration `json:"header"`
	IdleTimeout    encoder.Duration `json:"idle"`
	// ColdOvershoot and ColdSlack extend the operators' limit on the requests to a server that is warming up: in any second, all
	// VMs together may send it the limit times ColdOvershoot, plus ColdSlack.
	ColdOvershoot float64 `json:"cold_overshoot"`
	ColdSlack     float64 `json:"cold_slack"`
	// HeldBytes is the limit on the memory that is held for all clients, and ServerBytes that on the request bodies in flight to
	// one server of a plain service.
	HeldBytes   int64 `json:"held"`
	ServerBytes int64 `json:"server"`
	ClientLimits
}

// RelayTimes are the time limits that the platform sets, and the heartbeat interval.
type RelayTimes struct {
	RevokeLimit       encoder.Duration `json:"revoke"`
	ApplyLimit        encoder.Duration `json:"apply"`
	ShutdownTimeout   encoder.Duration `json:"grace"`
	HeartbeatInterval encoder.Duration `json:"heartbeat"`
}

// RelayBudget limits the retries of all VMs together. Ratio is the number of retries allowed for each request of a
// service, and Burst the number of additional retries allowed in a window set by the operators.
type RelayBudget struct {
	Ratio float64 `json:"ratio"`
	Burst float64 `json:"slack"`
}

// VM returns the entry VM with these settings.
func (s *RelaySettings) VM() dragonflypass.VM {
	return dragonflypass.VM{ID: dragonflypass.VMID(s.Name), Zone: dragonflypass.AvailabilityZone(s.Zone), Peer: s.Listen.Peers, Processors: s.Limits.ProcessorShare * s.Limits.ProcessorSpeed}
}

// LoadRelay reads and validates the settings file. If the file can be read but is invalid, the error is of type Faults.
func LoadRelay(file string) (*RelaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "loader: read the settings")
	}
	return ParseRelay(data)
}

// ParseRelay validates settings and sets the defaults, with the descriptor limit of this process.
func ParseRelay(data []byte) (*RelaySettings, error) { return ParseRelayFor(data, DescriptorLimit()) }

// ParseRelayFor validates settings and sets the defaults for a process that may open that many descriptors.
func ParseRelayFor(data []byte, descriptors int) (*RelaySettings, error) {
	settings := &RelaySettings{}
	if err := parse(data, relaySchema, settings); err != nil {
		return nil, err
	}
	settings.setDefaults(descriptors)
	if faults := settings.check(descriptors); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

// parse validates a document against the schema and decodes it into target.
func parse(data, schemaText []byte, target any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Faults{{Path: "/", Message: "not valid JSON: " + err.Error()}}
	}
	schema, err := compile(schemaText)
	if err != nil {
		return err
	}
	if faults := validate(schema, document); len(faults) > 0 {
		return faults
	}
	if err := json.Unmarshal(data, target); err != nil {
		return Faults{{Path: "/", Message: err.Error()}}
	}
	return nil
}

func (s *RelaySettings) setDefaults(descriptors int) {
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Limits.MemoryMiB = cmp.Or(s.Limits.MemoryMiB, 256)
	s.Limits.ProcessorShare = cmp.Or(s.Limits.ProcessorShare, 1)
	s.Limits.ProcessorSpeed = cmp.Or(s.Limits.ProcessorSpeed, 1)
	s.Limits.MaxBodyBytes = cmp.Or(s.Limits.MaxBodyBytes, 4<<20)
	s.Limits.ColdOvershoot = cmp.Or(s.Limits.ColdOvershoot, 1)
	s.Limits.HeldBytes = cmp.Or(s.Limits.HeldBytes, max(s.Limits.MemoryMiB*mebibyte/heldShare, 2*s.Limits.MaxBodyBytes))
	s.Limits.ServerBytes = cmp.Or(s.Limits.ServerBytes, defaultServerBodies*s.Limits.MaxBodyBytes)
	s.Limits.ClientLimits.setDefaults(s.Limits.MemoryMiB*mebibyte, descriptors)
	s.Workers = cmp.Or(s.Workers, 16)
	setDefaultDuration(&s.Limits.HeaderTimeout, 5*time.Second)
	setDefaultDuration(&s.Limits.IdleTimeout, time.Minute)
	setDefaultDuration(&s.Times.HeartbeatInterval, 300*time.Millisecond)
}

// check returns the faults that depend on several settings or on the descriptor limit.
func (s *RelaySettings) check(descriptors int) Faults {
	faults := s.Limits.ClientLimits.check("held", s.Limits.HeldBytes, s.Limits.MaxBodyBytes, s.Limits.MemoryMiB*mebibyte, descriptors)
	if s.Limits.ServerBytes < s.Limits.MaxBodyBytes {
		faults = append(faults, Fault{Path: "/limits/server", Message: "must be at least limits/body"})
	}
	l := s.Listen
	if equalAddresses(l.Callers, l.Probes) || equalAddresses(l.Callers, l.Peers) || equalAddresses(l.Probes, l.Peers) {
		faults = append(faults, Fault{Path: "/listen", Message: "the addresses must differ"})
	}
	if l.Metrics.IsValid() && (equalAddresses(l.Metrics, l.Callers) || equalAddresses(l.Metrics, l.Probes) || equalAddresses(l.Metrics, l.Peers)) {
		faults = append(faults, Fault{Path: "/listen/metrics", Message: "must differ from the other addresses"})
	}
	return faults
}
