package messenger

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// costReport is encoded as an array to save space, because a heartbeat may contain many. The times are in nanoseconds.
type costReport struct {
	_            struct{} `cbor:",toarray"`
	Level        uint8
	Service      string
	Route        string
	Class        uint8
	Account      string
	Part         string
	Time         int64
	TimeSpread   int64
	TimeCount    float32
	Output       float32
	OutputSpread float32
	OutputCount  float32
}

func toCostReport(r dragonflypass.CostReport) costReport {
	return costReport{
		Level: uint8(r.Key.Level), Service: string(r.Key.Service), Route: r.Key.Route, Class: uint8(r.Key.Class), Account: string(r.Key.Account), Part: string(r.Key.Part),
		Time: int64(r.Time), TimeSpread: int64(r.TimeSpread), TimeCount: float32(r.TimeCount),
		Output: float32(r.Output), OutputSpread: float32(r.OutputSpread), OutputCount: float32(r.OutputCount),
	}
}

func (w costReport) report() dragonflypass.CostReport {
	return dragonflypass.CostReport{
		Key: dragonflypass.CostKey{
			Level: dragonflypass.CostLevel(w.Level), Service: dragonflypass.ServiceID(w.Service), Route: w.Route, Class: dragonflypass.LengthClass(w.Class),
			Account: dragonflypass.AccountID(w.Account), Part: dragonflypass.SharedPart(w.Part),
		},
		Time: time.Duration(w.Time), TimeSpread: time.Duration(w.TimeSpread), TimeCount: float64(w.TimeCount),
		Output: float64(w.Output), OutputSpread: float64(w.OutputSpread), OutputCount: float64(w.OutputCount),
	}
}

// paceReport is encoded as an array to save space, because a heartbeat may contain many.
type paceReport struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	Service   string
	Zone      string
	StartedAt int64
	Mean      float32
	Count     float32
}

func toPaceReport(r dragonflypass.PaceReport) paceReport {
	return paceReport{Server: string(r.Server), Service: string(r.Service), Zone: string(r.Zone), StartedAt: r.StartedAt, Mean: float32(r.Mean), Count: float32(r.Count)}
}

func (w paceReport) report() dragonflypass.PaceReport {
	return dragonflypass.PaceReport{
		Server: dragonflypass.ServerID(w.Server), Service: dragonflypass.ServiceID(w.Service), Zone: dragonflypass.AvailabilityZone(w.Zone),
		StartedAt: w.StartedAt, Mean: float64(w.Mean), Count: float64(w.Count),
	}
}
