package loader

import (
	"bytes"
	"cmp"
	_ "embed"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/encoder"
)

//go:embed schema.json
var schemaText []byte

// Settings are the checked settings of one entry VM's process.
type Settings struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Peers    Peers    `json:"peers"`
	Admin    Admin    `json:"admin"`
	Log      Log      `json:"log"`
	Limits   Limits   `json:"limits"`
	Times    Times    `json:"times"`
	Workers  int      `json:"workers"`
	Shards   int      `json:"shards"`
}

// Listen holds the addresses of the process.
type Listen struct {
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
}

// Platform tells how the platform is reached.
type Platform struct {
	Address   netip.AddrPort `json:"address"`
	Retention encoder.Span   `json:"retention"`
	Secret    Secret         `json:"secret"`
}

// Peers tells how the other entry VMs are reached.
type Peers struct {
	Secret Secret `json:"secret"`
	Seeds  []Seed `json:"seeds"`
	TLS    *TLS   `json:"tls"`
}

// Seed is an entry VM known from the settings.
type Seed struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// TLS names the files of certificates.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Admin tells how operators are known.
type Admin struct {
	Secret Secret `json:"secret"`
}

// Secret is a credential, given here or in a file.
type Secret struct {
	Value string `json:"value"`
	File  string `json:"file"`
}

// Log tells how lines are written.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Limits bound what callers may use, in bytes and spans of time.
type Limits struct {
	Body   int64        `json:"body"`
	Buffer int64        `json:"buffer"`
	Header encoder.Span `json:"header"`
	Upload encoder.Span `json:"upload"`
	Idle   encoder.Span `json:"idle"`
	Write  encoder.Span `json:"write"`
}

// Times are the periods of the process.
type Times struct {
	Heartbeat encoder.Span `json:"heartbeat"`
	Report    encoder.Span `json:"report"`
	Poll      encoder.Span `json:"poll"`
	List      encoder.Span `json:"list"`
	Lease     encoder.Span `json:"lease"`
	Lag       encoder.Span `json:"lag"`
	Drain     encoder.Span `json:"drain"`
	Delay     encoder.Span `json:"delay"`
	Remember  encoder.Span `json:"remember"`
}

// VM returns the entry VM that the settings describe.
func (s *Settings) VM() dragonflypass.VM {
	return dragonflypass.VM{ID: dragonflypass.VMID(s.Name), Zone: dragonflypass.AvailabilityZone(s.Zone), Peer: s.Listen.Peers}
}

// SeedVMs returns the entry VMs known from the settings.
func (s *Settings) SeedVMs() []dragonflypass.VM {
	vms := make([]dragonflypass.VM, 0, len(s.Peers.Seeds))
	for _, seed := range s.Peers.Seeds {
		vms = append(vms, dragonflypass.VM{
			ID: dragonflypass.VMID(seed.Name), Zone: dragonflypass.AvailabilityZone(seed.Zone), Peer: seed.Address,
		})
	}
	return vms
}

// Fault is one thing wrong with the settings, at a path in the file.
type Fault struct {
	Path    string
	Message string
}

// Faults is the error that lists all that is wrong with the settings.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Path+": "+fault.Message)
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings file; the error is Faults when the file could be read.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "loader: read the settings")
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if faults := settings.readSecrets(filepath.Dir(file)); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

// Parse checks settings and fills in the defaults; secrets in files are not read.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := parse(data, schemaText, settings); err != nil {
		return nil, err
	}
	settings.fill()
	if faults := settings.check(); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

func compile(schemaText []byte) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, eris.Wrap(err, "loader: read the schema")
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	compiler.RegisterFormat(&jsonschema.Format{Name: "addrport", Validate: isAddrPort})
	compiler.RegisterFormat(&jsonschema.Format{Name: "span", Validate: isSpan})
	if err := compiler.AddResource("settings.json", document); err != nil {
		return nil, eris.Wrap(err, "loader: add the schema")
	}
	schema, err := compiler.Compile("settings.json")
	return schema, eris.Wrap(err, "loader: compile the schema")
}

func isAddrPort(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return eris.New("must be an IP address with a port, as in 127.0.0.1:8080")
	}
	return nil
}

func isSpan(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	if span, err := time.ParseDuration(text); err != nil || span <= 0 {
		return eris.New("must be a time above 0, as in 500ms or 12h")
	}
	return nil
}

// validate returns every fault that the schema finds.
func validate(schema *jsonschema.Schema, document any) Faults {
	err := schema.Validate(document)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !eris.As(err, &invalid) {
		return Faults{{Path: "/", Message: err.Error()}}
	}
	var faults Faults
	collect(invalid, message.NewPrinter(language.English), &faults)
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message)) })
	return slices.Compact(faults)
}

func collect(err *jsonschema.ValidationError, printer *message.Printer, into *Faults) {
	if len(err.Causes) == 0 {
		*into = append(*into, Fault{
			Path:    "/" + strings.Join(err.InstanceLocation, "/"),
			Message: err.ErrorKind.LocalizedString(printer),
		})
	}
	for _, cause := range err.Causes {
		collect(cause, printer, into)
	}
}

func fillSpan(span *encoder.Span, value time.Duration) {
	if *span == 0 {
		*span = encoder.Span(value)
	}
}

func (s *Settings) fill() {
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Log.Format = cmp.Or(s.Log.Format, "text")
	s.Limits.Body = cmp.Or(s.Limits.Body, 16<<20)
	s.Limits.Buffer = cmp.Or(s.Limits.Buffer, 256<<20)
	s.Workers = cmp.Or(s.Workers, 16)
	s.Shards = cmp.Or(s.Shards, 4)
	fillSpan(&s.Platform.Retention, 24*time.Hour)
	fillSpan(&s.Limits.Header, 5*time.Second)
	fillSpan(&s.Limits.Upload, time.Minute)
	fillSpan(&s.Limits.Idle, time.Minute)
	fillSpan(&s.Limits.Write, 10*time.Second)
	fillSpan(&s.Times.Heartbeat, time.Second)
	fillSpan(&s.Times.Report, 500*time.Millisecond)
	fillSpan(&s.Times.Poll, time.Second)
	fillSpan(&s.Times.List, 5*time.Second)
	fillSpan(&s.Times.Lease, 10*time.Second)
	fillSpan(&s.Times.Lag, 2*time.Second)
	fillSpan(&s.Times.Drain, 5*time.Minute)
	fillSpan(&s.Times.Delay, time.Millisecond)
	fillSpan(&s.Times.Remember, 72*time.Hour)
}

// check finds the faults that concern several settings together.
func (s *Settings) check() Faults {
	var faults Faults
	add := func(wrong bool, path, text string) {
		if wrong {
			faults = append(faults, Fault{Path: path, Message: text})
		}
	}
	add(s.Limits.Buffer < s.Limits.Body, "/limits/buffer", "must be at least limits/body")
	add(s.Times.Lease < 3*s.Times.Heartbeat, "/times/lease", "must be at least three times times/heartbeat")
	add(s.Times.Lag < s.Times.Report, "/times/lag", "must be at least times/report")
	add(same(s.Listen.Callers, s.Listen.Peers) || same(s.Listen.Callers, s.Listen.Admin) || same(s.Listen.Peers, s.Listen.Admin),
		"/listen", "the three addresses must differ")
	names := map[string]bool{s.Name: true}
	for _, seed := range s.Peers.Seeds {
		add(names[seed.Name] && seed.Name != s.Name, "/peers/seeds", "the name "+seed.Name+" stands twice")
		names[seed.Name] = true
	}
	return faults
}

// same reports whether two addresses are one; a port of 0 stands for any free one.
func same(a, b netip.AddrPort) bool { return a == b && a.Port() != 0 }

// readSecrets replaces secrets in files, named relative to the folder, by their values.
func (s *Settings) readSecrets(folder string) Faults {
	var faults Faults
	read := func(secret *Secret, path string) {
		if secret.File == "" {
			return
		}
		name := secret.File
		if !filepath.IsAbs(name) {
			name = filepath.Join(folder, name)
		}
		data, err := os.ReadFile(name)
		if err != nil {
			faults = append(faults, Fault{Path: path + "/file", Message: err.Error()})
			return
		}
		secret.Value = strings.TrimSpace(string(data))
		if secret.Value == "" {
			faults = append(faults, Fault{Path: path + "/file", Message: "the file is empty"})
		}
	}
	read(&s.Platform.Secret, "/platform/secret")
	read(&s.Peers.Secret, "/peers/secret")
	read(&s.Admin.Secret, "/admin/secret")
	return faults
}
