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
var settingsSchema []byte

// Settings are the validated settings of one entry VM.
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

// Listen has the addresses on which the process listens.
type Listen struct {
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	Admin   netip.AddrPort `json:"admin"`
}

// Platform has the address and the credential of the platform, and the time for which its log retains records.
type Platform struct {
	Address   netip.AddrPort   `json:"address"`
	Retention encoder.Duration `json:"retention"`
	Secret    Secret           `json:"secret"`
}

// Peers has the settings for messages between entry VMs.
type Peers struct {
	Secret Secret `json:"secret"`
	Seeds  []Seed `json:"seeds"`
	TLS    *TLS   `json:"tls"`
}

// Seed is an entry VM that is known before the platform's list of VMs is read.
type Seed struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// TLS names the files with the certificate, its key and the certificate authority.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Admin has the credential of operators.
type Admin struct {
	Secret Secret `json:"secret"`
}

// Secret is a credential, either the value itself or the name of a file that contains it.
type Secret struct {
	Value string `json:"value"`
	File  string `json:"file"`
}

// Log has the level and the format of log lines.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Limits are the limits on callers' requests; BufferBytes is the limit on the total size of all buffered request bodies.
type Limits struct {
	MaxBodyBytes  int64            `json:"body"`
	BufferBytes   int64            `json:"buffer"`
	HeaderTimeout encoder.Duration `json:"header"`
	UploadTimeout encoder.Duration `json:"upload"`
	IdleTimeout   encoder.Duration `json:"idle"`
	WriteTimeout  encoder.Duration `json:"write"`
	// MemoryMiB is the memory of the process in MiB, zero if it is not limited.
	MemoryMiB int64 `json:"memory"`
	ClientLimits
}

// Times are the intervals and timeouts of the process.
type Times struct {
	HeartbeatInterval  encoder.Duration `json:"heartbeat"`
	ReportInterval     encoder.Duration `json:"report"`
	LogPollInterval    encoder.Duration `json:"poll"`
	MemberPollInterval encoder.Duration `json:"list"`
	Lease              encoder.Duration `json:"lease"`
	ReportLag          encoder.Duration `json:"lag"`
	DrainTimeout       encoder.Duration `json:"drain"`
	ZoneDelay          encoder.Duration `json:"delay"`
	OutcomeRetention   encoder.Duration `json:"remember"`
}

// VM returns the entry VM with these settings.
func (s *Settings) VM() dragonflypass.VM {
	return dragonflypass.VM{ID: dragonflypass.VMID(s.Name), Zone: dragonflypass.AvailabilityZone(s.Zone), Peer: s.Listen.Peers}
}

// SeedVMs returns the seeds as entry VMs.
func (s *Settings) SeedVMs() []dragonflypass.VM {
	vms := make([]dragonflypass.VM, 0, len(s.Peers.Seeds))
	for _, seed := range s.Peers.Seeds {
		vms = append(vms, dragonflypass.VM{
			ID: dragonflypass.VMID(seed.Name), Zone: dragonflypass.AvailabilityZone(seed.Zone), Peer: seed.Address,
		})
	}
	return vms
}

// Fault is one error in the settings; Path is its position in the file.
type Fault struct {
	Path    string
	Message string
}

// Faults is an error that lists all faults of the settings.
type Faults []Fault

// Error returns the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Path+": "+fault.Message)
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the settings file. If the file can be read but is invalid, the error is of type Faults.
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

// Parse validates settings and sets the defaults; it does not read secrets from files.
func Parse(data []byte) (*Settings, error) { return ParseFor(data, DescriptorLimit()) }

// ParseFor is Parse for a process that may open that many descriptors.
func ParseFor(data []byte, descriptors int) (*Settings, error) {
	settings := &Settings{}
	if err := parse(data, settingsSchema, settings); err != nil {
		return nil, err
	}
	settings.setDefaults(descriptors)
	if faults := settings.check(descriptors); len(faults) > 0 {
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
	compiler.RegisterFormat(&jsonschema.Format{Name: "addrport", Validate: validateAddrPort})
	compiler.RegisterFormat(&jsonschema.Format{Name: "span", Validate: validateDuration})
	if err := compiler.AddResource("settings.json", document); err != nil {
		return nil, eris.Wrap(err, "loader: add the schema")
	}
	schema, err := compiler.Compile("settings.json")
	return schema, eris.Wrap(err, "loader: compile the schema")
}

func validateAddrPort(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return eris.New("must be an IP address with a port, as in 127.0.0.1:8080")
	}
	return nil
}

func validateDuration(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	if duration, err := time.ParseDuration(text); err != nil || duration <= 0 {
		return eris.New("must be a time above 0, as in 500ms or 12h")
	}
	return nil
}

// validate returns all violations of the schema.
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
	collectFaults(invalid, message.NewPrinter(language.English), &faults)
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message)) })
	return slices.Compact(faults)
}

func collectFaults(err *jsonschema.ValidationError, printer *message.Printer, faults *Faults) {
	if len(err.Causes) == 0 {
		*faults = append(*faults, Fault{
			Path:    "/" + strings.Join(err.InstanceLocation, "/"),
			Message: err.ErrorKind.LocalizedString(printer),
		})
	}
	for _, cause := range err.Causes {
		collectFaults(cause, printer, faults)
	}
}

func setDefaultDuration(duration *encoder.Duration, value time.Duration) {
	if *duration == 0 {
		*duration = encoder.Duration(value)
	}
}

func (s *Settings) setDefaults(descriptors int) {
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Log.Format = cmp.Or(s.Log.Format, "text")
	s.Limits.MaxBodyBytes = cmp.Or(s.Limits.MaxBodyBytes, 16<<20)
	s.Limits.BufferBytes = cmp.Or(s.Limits.BufferBytes, 256<<20)
	s.Limits.ClientLimits.setDefaults(s.Limits.memoryBytes(), descriptors)
	s.Workers = cmp.Or(s.Workers, 16)
	s.Shards = cmp.Or(s.Shards, 4)
	setDefaultDuration(&s.Platform.Retention, 24*time.Hour)
	setDefaultDuration(&s.Limits.HeaderTimeout, 5*time.Second)
	setDefaultDuration(&s.Limits.UploadTimeout, time.Minute)
	setDefaultDuration(&s.Limits.IdleTimeout, time.Minute)
	setDefaultDuration(&s.Limits.WriteTimeout, 10*time.Second)
	setDefaultDuration(&s.Times.HeartbeatInterval, time.Second)
	setDefaultDuration(&s.Times.ReportInterval, 500*time.Millisecond)
	setDefaultDuration(&s.Times.LogPollInterval, time.Second)
	setDefaultDuration(&s.Times.MemberPollInterval, 5*time.Second)
	setDefaultDuration(&s.Times.Lease, 10*time.Second)
	setDefaultDuration(&s.Times.ReportLag, 2*time.Second)
	setDefaultDuration(&s.Times.DrainTimeout, 5*time.Minute)
	setDefaultDuration(&s.Times.ZoneDelay, time.Millisecond)
	setDefaultDuration(&s.Times.OutcomeRetention, 72*time.Hour)
}

// check returns the faults that depend on several settings or on the descriptor limit.
func (s *Settings) check(descriptors int) Faults {
	faults := s.Limits.ClientLimits.check("buffer", s.Limits.BufferBytes, s.Limits.MaxBodyBytes, s.Limits.MemoryMiB*mebibyte, descriptors)
	addIf := func(invalid bool, path, text string) {
		if invalid {
			faults = append(faults, Fault{Path: path, Message: text})
		}
	}
	addIf(s.Times.Lease < 3*s.Times.HeartbeatInterval, "/times/lease", "must be at least three times times/heartbeat")
	addIf(s.Times.ReportLag < s.Times.ReportInterval, "/times/lag", "must be at least times/report")
	addIf(equalAddresses(s.Listen.Callers, s.Listen.Peers) || equalAddresses(s.Listen.Callers, s.Listen.Admin) || equalAddresses(s.Listen.Peers, s.Listen.Admin),
		"/listen", "the three addresses must differ")
	names := map[string]bool{s.Name: true}
	for _, seed := range s.Peers.Seeds {
		addIf(names[seed.Name] && seed.Name != s.Name, "/peers/seeds", "the name "+seed.Name+" is used twice")
		names[seed.Name] = true
	}
	return faults
}

// equalAddresses reports whether two addresses are the same. Addresses with port 0, which selects any free port, never are.
func equalAddresses(a, b netip.AddrPort) bool { return a == b && a.Port() != 0 }

// readSecrets sets the values of secrets that are stored in files; relative file names are resolved against the directory.
func (s *Settings) readSecrets(directory string) Faults {
	var faults Faults
	readSecret := func(secret *Secret, path string) {
		if secret.File == "" {
			return
		}
		name := secret.File
		if !filepath.IsAbs(name) {
			name = filepath.Join(directory, name)
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
	readSecret(&s.Platform.Secret, "/platform/secret")
	readSecret(&s.Peers.Secret, "/peers/secret")
	readSecret(&s.Admin.Secret, "/admin/secret")
	return faults
}
