package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass/adapter/loader"
)

const valid = `{
	"name": "vm-1", "zone": "a",
	"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
	"platform": {"address": "127.0.0.1:4"},
	"peers": {"secret": {"value": "peers-secret"}},
	"admin": {"secret": {"file": "admin.secret"}}
}`

func TestDefaults(t *testing.T) {
	c := qt.New(t)
	settings, err := loader.Parse([]byte(valid))
	c.Assert(err, qt.IsNil)
	c.Check(time.Duration(settings.Times.HeartbeatInterval), qt.Equals, time.Second)
	c.Check(settings.Workers, qt.Equals, 16)
	c.Check(settings.VM().Peer.Port(), qt.Equals, uint16(2))
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	_, err := loader.Parse([]byte(`{
		"name": "", "zone": "a", "colour": "red",
		"listen": {"callers": "localhost:1", "peers": "127.0.0.1:2", "admin": 3},
		"platform": {"address": "127.0.0.1:4", "retention": "soon"},
		"peers": {"secret": {"value": "short"}, "seeds": [{"name": "vm-2", "zone": "b"}]},
		"admin": {"secret": {"value": "long-enough", "file": "too"}},
		"times": {"heartbeat": "-1s"}, "workers": 1
	}`))
	faults, ok := errors.AsType[loader.Faults](err)
	c.Assert(ok, qt.IsTrue)
	paths := make(map[string]string)
	for _, fault := range faults {
		paths[fault.Path] += fault.Message
	}
	for path, message := range map[string]string{
		"/":                   ".*colour.*",
		"/name":               ".*minLength.*",
		"/listen/callers":     ".*IP address with a port.*",
		"/listen/admin":       ".*want string.*",
		"/platform/retention": ".*a time above 0.*",
		"/peers/secret/value": ".*minLength.*",
		"/peers/seeds/0":      ".*address.*",
		"/admin/secret":       ".*maxProperties.*",
		"/times/heartbeat":    ".*a time above 0.*",
		"/workers":            ".*minimum.*",
	} {
		c.Check(paths[path], qt.Matches, message, qt.Commentf("path %s of %v", path, faults))
	}
}

func TestConflictingSettings(t *testing.T) {
	c := qt.New(t)
	_, err := loader.Parse([]byte(`{
		"name": "vm-1", "zone": "a",
		"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:1", "admin": "127.0.0.1:3"},
		"platform": {"address": "127.0.0.1:4"},
		"peers": {"secret": {"value": "peers-secret"}}, "admin": {"secret": {"value": "admin-secret"}},
		"limits": {"body": 2048, "buffer": 1024}, "times": {"lease": "1s", "lag": "100ms"}
	}`))
	faults, ok := errors.AsType[loader.Faults](err)
	c.Assert(ok, qt.IsTrue)
	c.Check(faults, qt.HasLen, 4)
}

func TestMalformed(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "{", "[]", `{"name": 1} x`} {
		_, err := loader.Parse([]byte(text))
		_, ok := errors.AsType[loader.Faults](err)
		c.Check(ok, qt.IsTrue, qt.Commentf("%q", text))
	}
}

func TestSecretFromFile(t *testing.T) {
	c := qt.New(t)
	directory := c.TempDir()
	file := filepath.Join(directory, "settings.json")
	c.Assert(os.WriteFile(file, []byte(valid), 0o600), qt.IsNil)
	_, err := loader.Load(file)
	c.Check(err, qt.ErrorMatches, "/admin/secret/file: .*no such file.*")
	c.Assert(os.WriteFile(filepath.Join(directory, "admin.secret"), []byte("from-a-file\n"), 0o600), qt.IsNil)
	settings, err := loader.Load(file)
	c.Assert(err, qt.IsNil)
	c.Check(settings.Admin.Secret.Value, qt.Equals, "from-a-file")
}
