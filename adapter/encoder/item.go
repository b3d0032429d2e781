package encoder

import (
	"net/netip"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// Item is the JSON form of a configuration item; exactly one field is set.
type Item struct {
	Rank    *Rank    `json:"rank,omitempty"`
	Account *Account `json:"account,omitempty"`
	Model   *Model   `json:"model,omitempty"`
	Service *Service `json:"service,omitempty"`
	Server  *Server  `json:"server,omitempty"`
	Sheet   *Sheet   `json:"sheet,omitempty"`
}

// Rank is the JSON form of the policy of a rank.
type Rank struct {
	// First is the target for the time to the first token.
	First Duration `json:"first"`
	// Within is the time within which an admitted request finishes or fails.
	Within Duration `json:"within"`
	// Floor is the minimum share of service, 0 to 1.
	Floor float64 `json:"floor"`
}

// Account is the JSON form of a client account.
type Account struct {
	ID       string   `json:"id"`
	Keys     []Hash   `json:"keys"`
	Models   []string `json:"models"`
	Services []string `json:"services,omitempty"`
	Rank     string   `json:"rank"`
	Weight   float64  `json:"weight"`
	Rate     float64  `json:"rate,omitempty"`
	Streams  int      `json:"streams,omitempty"`
}

// Model is the JSON form of a model.
type Model struct {
	ID      string `json:"id"`
	Version string `json:"version"`
	// Limit is the maximum length of prompt and output together, in tokens.
	Limit int `json:"limit"`
}

// Service is the JSON form of a plain service.
type Service struct {
	ID        string     `json:"id"`
	Endpoints []Endpoint `json:"endpoints"`
	Rank      string     `json:"rank"`
	Once      []Route    `json:"once,omitempty"`
	Remember  Duration   `json:"remember,omitempty"`
}

// Endpoint is the JSON form of an endpoint of a plain service.
type Endpoint struct {
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

// Route is the JSON form of a route.
type Route struct {
	Method string `json:"method"`
	Prefix string `json:"prefix"`
}

// Server is the JSON form of a backend server.
type Server struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Models  []string       `json:"models"`
	// Memory is the KV memory in tokens.
	Memory int `json:"memory"`
	Slots  int `json:"slots"`
	// Prefill and Decode are rates in tokens per second.
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
	Fenced  bool    `json:"fenced,omitempty"`
}

// Sheet is the JSON form of the plan for one day.
type Sheet struct {
	Day        string     `json:"day"`
	Windows    []Window   `json:"windows,omitempty"`
	Capacities []Capacity `json:"capacities,omitempty"`
	Priorities []Priority `json:"priorities,omitempty"`
}

// Window is the JSON form of a maintenance window.
type Window struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
}

// Capacity is the JSON form of a capacity override.
type Capacity struct {
	Server string    `json:"server"`
	Slots  int       `json:"slots"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
}

// Priority is the JSON form of a weight override.
type Priority struct {
	Account string    `json:"account"`
	Weight  float64   `json:"weight"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// FromItem returns the JSON form of an item.
func FromItem(item dragonflypass.Item) Item {
	var w Item
	switch {
	case item.Rank != nil:
		w.Rank = &Rank{First: Duration(item.Rank.FirstTokenTarget), Within: Duration(item.Rank.Timeout), Floor: item.Rank.MinShare}
	case item.Account != nil:
		w.Account = fromAccount(item.Account)
	case item.Model != nil:
		w.Model = &Model{ID: string(item.Model.ID), Version: item.Model.Version, Limit: item.Model.Limit}
	case item.Service != nil:
		w.Service = fromService(item.Service)
	case item.Server != nil:
		w.Server = fromServer(item.Server)
	case item.Sheet != nil:
		w.Sheet = fromSheet(item.Sheet)
	}
	return w
}

// Item converts the JSON form to an item; it returns ErrFormat for an empty or invalid one.
func (w Item) Item() (dragonflypass.Item, error) {
	var item dragonflypass.Item
	var err error
	switch {
	case w.Rank != nil:
		item.Rank = &dragonflypass.RankPolicy{FirstTokenTarget: time.Duration(w.Rank.First), Timeout: time.Duration(w.Rank.Within), MinShare: w.Rank.Floor}
	case w.Account != nil:
		item.Account, err = w.Account.account()
	case w.Model != nil:
		item.Model = &dragonflypass.Model{ID: dragonflypass.ModelID(w.Model.ID), Version: w.Model.Version, Limit: w.Model.Limit}
	case w.Service != nil:
		item.Service, err = w.Service.service()
	case w.Server != nil:
		item.Server = w.Server.server()
	case w.Sheet != nil:
		item.Sheet = w.Sheet.sheet()
	default:
		err = ErrFormat
	}
	return item, err
}

func fromAccount(a *dragonflypass.ClientAccount) *Account {
	w := &Account{
		ID: string(a.ID), Models: toStrings(a.Models), Services: toStrings(a.Services),
		Rank: a.Rank.String(), Weight: a.Weight, Rate: a.Rate, Streams: a.Streams,
	}
	for _, key := range a.Keys {
		w.Keys = append(w.Keys, Hash(key))
	}
	return w
}

func (w *Account) account() (*dragonflypass.ClientAccount, error) {
	rank, err := parseRank(w.Rank)
	if err != nil {
		return nil, err
	}
	a := &dragonflypass.ClientAccount{
		ID: dragonflypass.AccountID(w.ID), Models: fromStrings[dragonflypass.ModelID](w.Models),
		Services: fromStrings[dragonflypass.ServiceID](w.Services),
		Rank:     rank, Weight: w.Weight, Rate: w.Rate, Streams: w.Streams,
	}
	for _, key := range w.Keys {
		a.Keys = append(a.Keys, dragonflypass.Digest(key))
	}
	return a, nil
}

func fromService(s *dragonflypass.Service) *Service {
	w := &Service{ID: string(s.ID), Rank: s.Rank.String(), Remember: Duration(s.OutcomeRetention)}
	for _, e := range s.Endpoints {
		w.Endpoints = append(w.Endpoints, Endpoint{Address: e.Address, Zone: string(e.Zone)})
	}
	for _, r := range s.Once {
		w.Once = append(w.Once, Route(r))
	}
	return w
}

func (w *Service) service() (*dragonflypass.Service, error) {
	rank, err := parseRank(w.Rank)
	if err != nil {
		return nil, err
	}
	s := &dragonflypass.Service{ID: dragonflypass.ServiceID(w.ID), Rank: rank, OutcomeRetention: time.Duration(w.Remember)}
	for _, e := range w.Endpoints {
		s.Endpoints = append(s.Endpoints, dragonflypass.Endpoint{Address: e.Address, Zone: dragonflypass.AvailabilityZone(e.Zone)})
	}
	for _, r := range w.Once {
		s.Once = append(s.Once, dragonflypass.Route(r))
	}
	return s, nil
}

func fromServer(s *dragonflypass.BackendServer) *Server {
	return &Server{
		ID: string(s.ID), Zone: string(s.Zone), Address: s.Address, Models: toStrings(s.Models),
		Memory: s.KVCapacity, Slots: s.Slots, Prefill: s.PrefillRate, Decode: s.DecodeRate, Fenced: s.Fenced,
	}
}

func (w *Server) server() *dragonflypass.BackendServer {
	return &dragonflypass.BackendServer{
		ID: dragonflypass.ServerID(w.ID), Zone: dragonflypass.AvailabilityZone(w.Zone), Address: w.Address,
		Models:     fromStrings[dragonflypass.ModelID](w.Models),
		KVCapacity: w.Memory, Slots: w.Slots, PrefillRate: w.Prefill, DecodeRate: w.Decode, Fenced: w.Fenced,
	}
}

func fromSheet(s *dragonflypass.Sheet) *Sheet {
	w := &Sheet{Day: s.Day}
	for _, row := range s.Windows {
		w.Windows = append(w.Windows, Window{Name: row.Name, Zone: string(row.Zone), Start: row.Start, End: row.End})
	}
	for _, row := range s.CapacityOverrides {
		w.Capacities = append(w.Capacities, Capacity{Server: string(row.Server), Slots: row.Slots, Start: row.Start, End: row.End})
	}
	for _, row := range s.WeightOverrides {
		w.Priorities = append(w.Priorities, Priority{Account: string(row.Account), Weight: row.Weight, Start: row.Start, End: row.End})
	}
	return w
}

func (w *Sheet) sheet() *dragonflypass.Sheet {
	s := &dragonflypass.Sheet{Day: w.Day}
	for _, row := range w.Windows {
		s.Windows = append(s.Windows, dragonflypass.MaintenanceWindow{Name: row.Name, Zone: dragonflypass.AvailabilityZone(row.Zone), Start: row.Start, End: row.End})
	}
	for _, row := range w.Capacities {
		s.CapacityOverrides = append(s.CapacityOverrides, dragonflypass.CapacityOverride{Server: dragonflypass.ServerID(row.Server), Slots: row.Slots, Start: row.Start, End: row.End})
	}
	for _, row := range w.Priorities {
		s.WeightOverrides = append(s.WeightOverrides, dragonflypass.WeightOverride{Account: dragonflypass.AccountID(row.Account), Weight: row.Weight, Start: row.Start, End: row.End})
	}
	return s
}

func parseRank(name string) (dragonflypass.Rank, error) {
	rank, ok := dragonflypass.ParseRank(name)
	if !ok {
		return 0, formatError("rank %q is not urgent, normal or bulk", name)
	}
	return rank, nil
}

func toStrings[T ~string](values []T) []string {
	result := make([]string, len(values))
	for i, value := range values {
		result[i] = string(value)
	}
	return result
}

func fromStrings[T ~string](values []string) []T {
	result := make([]T, len(values))
	for i, value := range values {
		result[i] = T(value)
	}
	return result
}
