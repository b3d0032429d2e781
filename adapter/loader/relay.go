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

//go:embed relay.json
var relaySchema []byte

// RelaySettings are the checked settings of a process that relays exchanges on the platform.
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

// RelayListen holds the addresses of the process; Metrics is not valid where there is none.
type RelayListen struct {
	Callers netip.AddrPort `json:"callers"`
	Probes  netip.AddrPort `json:"probes"`
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
}

// RelayStore tells how the platform's store is reached.
type RelayStore struct {
	Address netip.AddrPort `json:"address"`
}

// RelayLimits bound what the process and its callers use; Memory is in MB, Body in bytes.
type RelayLimits struct {
	Memory int64        `json:"memory"`
	Body   int64        `json:"body"`
	Header encoder.Span `json:"header"`
	Idle   encoder.Span `json:"idle"`
}

// RelayTimes are the times that the platform sets, and the heartbeat's.
type RelayTimes struct {
	Revoke    encoder.Span `json:"revoke"`
	Apply     encoder.Span `json:"apply"`
	Grace     encoder.Span `json:"grace"`
	Heartbeat encoder.Span `json:"heartbeat"`
}

// RelayBudget bounds the repeats of all VMs together.
type RelayBudget struct {
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// VM returns the entry VM that the settings describe.
func (s *RelaySettings) VM() dragonflypass.VM {
	return dragonflypass.VM{ID: dragonflypass.VMID(s.Name), Zone: dragonflypass.AvailabilityZone(s.Zone), Peer: s.Listen.Peers}
}

// LoadRelay reads and checks the settings file; the error is Faults when the file could be read.
func LoadRelay(file string) (*RelaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "loader: read the settings")
	}
	return ParseRelay(data)
}

// ParseRelay checks settings and fills in the defaults.
func ParseRelay(data []byte) (*RelaySettings, error) {
	settings := &RelaySettings{}
	if err := parse(data, relaySchema, settings); err != nil {
		return nil, err
	}
	settings.fill()
	if faults := settings.check(); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

// parse checks a document against the schema and decodes it.
func parse(data, schemaText []byte, into any) error {
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
	if err := json.Unmarshal(data, into); err != nil {
		return Faults{{Path: "/", Message: err.Error()}}
	}
	return nil
}

func (s *RelaySettings) fill() {
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Limits.Memory = cmp.Or(s.Limits.Memory, 256)
	s.Limits.Body = cmp.Or(s.Limits.Body, 4<<20)
	s.Workers = cmp.Or(s.Workers, 16)
	fillSpan(&s.Limits.Header, 5*time.Second)
	fillSpan(&s.Limits.Idle, time.Minute)
	fillSpan(&s.Times.Heartbeat, 300*time.Millisecond)
}

// check finds the faults that concern several settings together.
func (s *RelaySettings) check() Faults {
	var faults Faults
	l := s.Listen
	if same(l.Callers, l.Probes) || same(l.Callers, l.Peers) || same(l.Probes, l.Peers) {
		faults = append(faults, Fault{Path: "/listen", Message: "the addresses must differ"})
	}
	if l.Metrics.IsValid() && (same(l.Metrics, l.Callers) || same(l.Metrics, l.Probes) || same(l.Metrics, l.Peers)) {
		faults = append(faults, Fault{Path: "/listen/metrics", Message: "must differ from the other addresses"})
	}
	return faults
}
