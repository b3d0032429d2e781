package inspector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dragonflypass/dragonflypass"
)

// valid returns a configuration without findings.
func valid() *Configuration {
	return &Configuration{
		Version: 7,
		Routes: []*dragonflypass.RoutePolicy{
			{Name: "r", Host: "desk.example", Prefix: "/r/", Kind: dragonflypass.KindOnce, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 1, Backends: []dragonflypass.WeightedService{{Service: "plain", Weight: 1}}},
			{Name: "s", Host: "desk.example:8080", Prefix: "/", Kind: dragonflypass.KindStream, Resumable: true, Timeout: time.Minute, LatencyObjective: time.Second, MaxEventGap: time.Second, MaxAttempts: 3, Backends: []dragonflypass.WeightedService{{Service: "models", Weight: 3}, {Service: "models-2"}}},
		},
		Services: []*dragonflypass.ServicePolicy{{ID: "plain"}, {ID: "models", CostModel: &dragonflypass.EngineCostModel{KVCapacity: 197_200}}, {ID: "models-2", CostModel: &dragonflypass.EngineCostModel{}}},
		Limits:   dragonflypass.CallerLimits{HeaderBytes: 16_384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Accounts: []*dragonflypass.AccountPolicy{{ID: "a", Keys: []dragonflypass.Digest{{1}, {2}}}, {ID: "b", Keys: []dragonflypass.Digest{{3}}}},
	}
}

// TestFindings changes a valid configuration and checks the severity, the place and the text of what is found.
func TestFindings(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(*Configuration)
		severity Severity
		section  Section
		index    int
		field    Field
		message  string
	}{
		"version":           {func(c *Configuration) { c.Version = 0 }, Error, SectionTable, 0, FieldVersion, ".*above 0"},
		"no leading slash":  {func(c *Configuration) { c.Routes[0].Prefix = "r/" }, Error, SectionRoutes, 0, FieldPrefix, ".*does not start.*"},
		"no trailing slash": {func(c *Configuration) { c.Routes[0].Prefix = "/r" }, Error, SectionRoutes, 0, FieldPrefix, ".*does not end.*"},
		"encoded prefix":    {func(c *Configuration) { c.Routes[0].Prefix = "/r%20/" }, Warning, SectionRoutes, 0, FieldPrefix, ".*decoded path.*"},
		"duplicate": {func(c *Configuration) { c.Routes[0].Host, c.Routes[0].Prefix = "DESK.example:8080", "/" }, Error, SectionRoutes, 1, FieldPrefix,
			`.*route "r" has the same host and prefix.*`},
		"split":               {func(c *Configuration) { c.Routes[0].Host = "desk.example:8080" }, Warning, SectionRoutes, 0, FieldPrefix, ".*percent-encoded.*"},
		"no host":             {func(c *Configuration) { c.Routes[0].Host = "" }, Error, SectionRoutes, 0, FieldHost, ".*empty"},
		"scheme":              {func(c *Configuration) { c.Routes[0].Host = "http://desk.example" }, Error, SectionRoutes, 0, FieldHost, ".*"},
		"wildcard":            {func(c *Configuration) { c.Routes[0].Host = "*.example" }, Error, SectionRoutes, 0, FieldHost, ".*wildcards.*"},
		"path in host":        {func(c *Configuration) { c.Routes[0].Host = "desk.example/r" }, Error, SectionRoutes, 0, FieldHost, ".*character.*"},
		"letters of no host":  {func(c *Configuration) { c.Routes[0].Host = "dësk.example" }, Error, SectionRoutes, 0, FieldHost, ".*character.*"},
		"port":                {func(c *Configuration) { c.Routes[0].Host = "desk.example:99999" }, Error, SectionRoutes, 0, FieldHost, ".*port.*"},
		"IPv6":                {func(c *Configuration) { c.Routes[0].Host = "::1" }, Error, SectionRoutes, 0, FieldHost, ".*brackets"},
		"weights":             {func(c *Configuration) { c.Routes[1].Backends[0].Weight = 0 }, Error, SectionRoutes, 1, FieldBackends, ".*weights.*"},
		"no service":          {func(c *Configuration) { c.Routes[1].Backends = c.Routes[1].Backends[:0] }, Error, SectionRoutes, 1, FieldBackends, ".*no service.*"},
		"unknown service":     {func(c *Configuration) { c.Routes[0].Backends[0].Service = "x" }, Error, SectionRoutes, 0, FieldBackends, `.*"x" is not defined`},
		"stream to plain":     {func(c *Configuration) { c.Routes[1].Backends[0].Service = "plain" }, Error, SectionRoutes, 1, FieldBackends, ".*no cost model"},
		"timeout":             {func(c *Configuration) { c.Routes[0].Timeout = 0 }, Error, SectionRoutes, 0, FieldTimeout, ".*"},
		"objective":           {func(c *Configuration) { c.Routes[0].LatencyObjective = time.Hour }, Error, SectionRoutes, 0, FieldLatencyObjective, ".*above the timeout.*"},
		"event gap":           {func(c *Configuration) { c.Routes[1].MaxEventGap = time.Hour }, Error, SectionRoutes, 1, FieldMaxEventGap, ".*above the timeout.*"},
		"attempts":            {func(c *Configuration) { c.Routes[0].MaxAttempts = 2 }, Error, SectionRoutes, 0, FieldMaxAttempts, ".*at most once"},
		"attempts of stream":  {func(c *Configuration) { c.Routes[1].Resumable = false }, Warning, SectionRoutes, 1, FieldMaxAttempts, ".*"},
		"unused service":      {func(c *Configuration) { c.Services[0].ID = "x" }, Warning, SectionServices, 0, FieldName, ".*"},
		"service twice":       {func(c *Configuration) { c.Services[2].ID = "models" }, Error, SectionServices, 2, FieldName, ".*twice.*"},
		"header bytes":        {func(c *Configuration) { c.Limits.HeaderBytes = 500 }, Error, SectionLimits, 0, FieldHeaderBytes, ".*"},
		"no body":             {func(c *Configuration) { c.Limits.BodyBytes = 0 }, Error, SectionLimits, 0, FieldBodyBytes, ".*above 0"},
		"body below a prompt": {func(c *Configuration) { c.Limits.BodyBytes = 100_000 }, Error, SectionLimits, 0, FieldBodyBytes, ".*197200.*"},
		"body of a prompt":    {func(c *Configuration) { c.Limits.BodyBytes = 400_000 }, Warning, SectionLimits, 0, FieldBodyBytes, ".*usually.*"},
		"idle below header":   {func(c *Configuration) { c.Limits.IdleTimeout = time.Second }, Error, SectionLimits, 0, FieldIdleTimeout, ".*below.*"},
		"no accounts":         {func(c *Configuration) { c.Accounts = nil }, Warning, SectionAccounts, -1, FieldNone, ".*every request is let in.*"},
		"no keys":             {func(c *Configuration) { c.Accounts[1].Keys = nil }, Error, SectionAccounts, 1, FieldKeys, ".*no keys"},
		"shared key":          {func(c *Configuration) { c.Accounts[1].Keys[0] = dragonflypass.Digest{2} }, Error, SectionAccounts, 1, FieldKeys, `.*account "a".*`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			config := valid()
			test.change(config)
			found := false
			for _, f := range Inspect(config, nil) {
				at := f.Location
				if f.Severity == test.severity && at.Section == test.section && at.Index == test.index && at.Field == test.field {
					c.Check(f.Message, qt.Matches, test.message)
					found = true
				}
			}
			c.Check(found, qt.IsTrue, qt.Commentf("%v", Inspect(config, nil)))
		})
	}
}

// TestValidConfiguration guards against findings on what is right, with and without the registry.
func TestValidConfiguration(t *testing.T) {
	c := qt.New(t)
	c.Check(Inspect(valid(), nil), qt.HasLen, 0)
	c.Check(Inspect(valid(), map[dragonflypass.ServiceID]int{"plain": 1, "models": 4}), qt.HasLen, 0)
	findings := Inspect(valid(), map[dragonflypass.ServiceID]int{"plain": 1})
	c.Assert(findings, qt.HasLen, 1)
	c.Check(findings[0].Message, qt.Equals, `service "models" has no registered servers`)
}

// TestCompare checks the differences that operators are told of.
func TestCompare(t *testing.T) {
	c := qt.New(t)
	changes, findings := Compare(valid(), valid())
	c.Check(changes, qt.HasLen, 0)
	c.Assert(findings, qt.HasLen, 1)
	c.Check(findings[0].Severity, qt.Equals, Error)

	next := valid()
	next.Version++
	next.Routes[0].Prefix = "/new/"
	next.Routes[1].Timeout = time.Hour
	next.Routes[1].Backends = next.Routes[1].Backends[1:]
	next.Accounts[0].Keys[1] = dragonflypass.Digest{9}
	next.Accounts = append(next.Accounts, &dragonflypass.AccountPolicy{ID: "c"})
	next.Limits.BodyBytes = 5
	changes, findings = Compare(valid(), next)
	c.Check(findings, qt.HasLen, 0)
	var lines []string
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	c.Check(lines, qt.DeepEquals, []string{
		"- account a: key 02000000", "+ account a: key 09000000", "+ account c", "~ limits: body bytes 4194304 → 5",
		"+ route desk.example/new/", "- route desk.example/r/",
		"~ route desk.example:8080/: moved from service models×3+models-2×0 → models-2, timeout 1m0s → 1h0m0s",
	})
	next.Accounts = nil
	changes, _ = Compare(valid(), next)
	c.Check(changes[len(changes)-1].Detail, qt.Equals, "requests need no key any more")
}
