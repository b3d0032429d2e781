package messenger

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypass/dragonflypass"
)

type vm struct {
	ID               string `cbor:"id"`
	Zone             string `cbor:"zone"`
	Peer             string `cbor:"peer"`
	Leaving          bool   `cbor:"leaving,omitempty"`
	TakeoverEligible bool   `cbor:"settled,omitempty"`
	// Processors is in cores.
	Processors float64 `cbor:"cores,omitempty"`
}

type heartbeat struct {
	From         vm           `cbor:"from"`
	Incarnation  uint64       `cbor:"inc"`
	CatchUp      bool         `cbor:"fetch,omitempty"`
	ConfigOffset uint64       `cbor:"config"`
	Loads        []load       `cbor:"loads,omitempty"`
	PeerStatuses []peerStatus `cbor:"seen,omitempty"`
	// GrantedStreams lists the sequence numbers in ascending order, each as the difference from the previous one.
	GrantedStreams   []uint64     `cbor:"kept,omitempty"`
	InheritedStreams []openStream `cbor:"held,omitempty"`
	Watermarks       []watermark  `cbor:"marks,omitempty"`
	// ZoneSizes holds the number of live VMs by zone.
	ZoneSizes  map[string]int `cbor:"sizes,omitempty"`
	ShardLoads []shardLoad    `cbor:"shards,omitempty"`
	// Parts is ignored by the versions that do not know it.
	Parts []partStatus `cbor:"parts,omitempty"`
	// Requests is ignored by the versions that do not know it.
	Requests []requestStatus `cbor:"requests,omitempty"`
	// Costs is ignored by the versions that do not know it.
	Costs []costReport `cbor:"costs,omitempty"`
	// Paces is ignored by the versions that do not know it.
	Paces []paceReport `cbor:"paces,omitempty"`
}

// shardLoad is encoded as an array to save space.
type shardLoad struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Zone    string
	Index   int
	Servers int
	Slots   int
	Streams int
	// Backlog is in nanoseconds.
	Backlog int64
}

// peerStatus is encoded as an array to save space, because a heartbeat may contain many.
type peerStatus struct {
	_           struct{} `cbor:",toarray"`
	VM          vm
	Incarnation uint64
	// HeartbeatAge is in nanoseconds.
	HeartbeatAge int64
}

type watermark struct {
	Topic string `cbor:"topic"`
	// Era and Version are ignored by the versions of this program that do not know them.
	Era       uint64   `cbor:"era,omitempty"`
	Version   uint64   `cbor:"version,omitempty"`
	EndOffset uint64   `cbor:"end"`
	Loaded    bool     `cbor:"known,omitempty"`
	Staleness int64    `cbor:"age"`
	Updates   []update `cbor:"updates,omitempty"`
	// Packed is the compressed form of Updates, which is then empty.
	Packed       []byte `cbor:"packed,omitempty"`
	FullSnapshot bool   `cbor:"whole,omitempty"`
	Withheld     bool   `cbor:"withheld,omitempty"`
}

type update struct {
	Key    string `cbor:"key"`
	Offset uint64 `cbor:"offset"`
	Raw    []byte `cbor:"raw,omitempty"`
}

// load is encoded as an array to save space, because every heartbeat contains many.
type load struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Free    int
	Streams int
	// Wait is in milliseconds.
	Wait [dragonflypass.ClassCount]int64
	// NextMaintenance is in nanoseconds since 1970, zero for none.
	NextMaintenance int64
	Models          []string
}

func toHeartbeat(hb dragonflypass.Heartbeat, now time.Time) heartbeat {
	w := heartbeat{
		From: toVM(hb.From), Incarnation: hb.Incarnation, CatchUp: hb.CatchUp, ConfigOffset: uint64(hb.ConfigOffset),
	}
	for _, l := range hb.Loads {
		wire := load{Server: string(l.Server), Free: l.Free, Streams: l.Streams, NextMaintenance: toUnixNano(l.NextMaintenance)}
		for i, wait := range l.Wait {
			wire.Wait[i] = wait.Milliseconds()
		}
		for _, model := range l.Models {
			wire.Models = append(wire.Models, string(model))
		}
		w.Loads = append(w.Loads, wire)
	}
	previous := uint64(0)
	for _, sequence := range slices.Sorted(slices.Values(hb.GrantedStreams)) {
		w.GrantedStreams = append(w.GrantedStreams, sequence-previous)
		previous = sequence
	}
	for _, s := range hb.InheritedStreams {
		w.InheritedStreams = append(w.InheritedStreams, toOpenStream(s, now))
	}
	for _, m := range hb.Watermarks {
		w.Watermarks = append(w.Watermarks, toWatermark(m))
	}
	for _, s := range hb.PeerStatuses {
		w.PeerStatuses = append(w.PeerStatuses, peerStatus{VM: toVM(s.VM), Incarnation: s.Incarnation, HeartbeatAge: int64(s.HeartbeatAge)})
	}
	for _, l := range hb.ShardLoads {
		w.ShardLoads = append(w.ShardLoads, shardLoad{
			Service: string(l.Shard.Service), Zone: string(l.Shard.Part.Zone), Index: l.Shard.Part.Index, Servers: l.Servers, Slots: l.Slots, Streams: l.Streams, Backlog: int64(l.Backlog),
		})
	}
	for _, s := range hb.Parts {
		w.Parts = append(w.Parts, toPartStatus(s, now))
	}
	for _, s := range hb.Requests {
		w.Requests = append(w.Requests, toRequestStatus(s, now))
	}
	for _, report := range hb.Costs {
		w.Costs = append(w.Costs, toCostReport(report))
	}
	for _, report := range hb.Paces {
		w.Paces = append(w.Paces, toPaceReport(report))
	}
	if len(hb.ZoneSizes) > 0 {
		w.ZoneSizes = make(map[string]int, len(hb.ZoneSizes))
		for zone, size := range hb.ZoneSizes {
			w.ZoneSizes[string(zone)] = size
		}
	}
	return w
}

func toVM(v dragonflypass.VM) vm {
	return vm{ID: string(v.ID), Zone: string(v.Zone), Peer: v.Peer.String(), Leaving: v.Leaving, TakeoverEligible: v.TakeoverEligible, Processors: v.Processors}
}

func (w vm) vm() (dragonflypass.VM, error) {
	peer, err := parseAddress(w.Peer)
	return dragonflypass.VM{ID: dragonflypass.VMID(w.ID), Zone: dragonflypass.AvailabilityZone(w.Zone), Peer: peer, Leaving: w.Leaving, TakeoverEligible: w.TakeoverEligible, Processors: w.Processors}, err
}

func toWatermark(m dragonflypass.Watermark) watermark {
	w := watermark{
		Topic: string(m.Topic), Era: uint64(m.Era), Version: m.Version, EndOffset: uint64(m.EndOffset), Loaded: m.Loaded,
		Staleness: int64(m.Staleness), FullSnapshot: m.FullSnapshot, Withheld: m.Withheld,
	}
	size := 0
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, update{Key: u.Key, Offset: uint64(u.Offset), Raw: u.Raw})
		size += len(u.Raw)
	}
	if size >= minPackedBytes {
		id := listID{topic: m.Topic, era: m.Era, version: m.Version, endOffset: m.EndOffset, fullSnapshot: m.FullSnapshot, count: len(m.Updates)}
		w.Updates, w.Packed = nil, lists.pack(id, w.Updates)
	}
	return w
}

func (w watermark) watermark() (dragonflypass.Watermark, error) {
	m := dragonflypass.Watermark{
		Topic: dragonflypass.Topic(w.Topic), Era: dragonflypass.Era(w.Era), Version: w.Version, EndOffset: dragonflypass.Offset(w.EndOffset),
		Loaded: w.Loaded, Staleness: time.Duration(w.Staleness), FullSnapshot: w.FullSnapshot, Withheld: w.Withheld,
	}
	updates := w.Updates
	if len(w.Packed) > 0 {
		var err error
		if updates, err = unpack(w.Packed); err != nil {
			return m, err
		}
	}
	for _, u := range updates {
		m.Updates = append(m.Updates, dragonflypass.Update{Key: u.Key, Offset: dragonflypass.Offset(u.Offset), Raw: u.Raw})
	}
	return m, nil
}

func (w heartbeat) heartbeat(now time.Time) (dragonflypass.Heartbeat, error) {
	from, err := w.From.vm()
	hb := dragonflypass.Heartbeat{
		From: from, Incarnation: w.Incarnation, CatchUp: w.CatchUp, ConfigOffset: dragonflypass.Offset(w.ConfigOffset),
	}
	for _, l := range w.Loads {
		serverLoad := dragonflypass.ServerLoad{Server: dragonflypass.ServerID(l.Server), Free: l.Free, Streams: l.Streams, NextMaintenance: fromUnixNano(l.NextMaintenance)}
		for i, wait := range l.Wait {
			serverLoad.Wait[i] = time.Duration(wait) * time.Millisecond
		}
		for _, model := range l.Models {
			serverLoad.Models = append(serverLoad.Models, dragonflypass.ModelID(model))
		}
		hb.Loads = append(hb.Loads, serverLoad)
	}
	sequence := uint64(0)
	for _, delta := range w.GrantedStreams {
		sequence += delta
		hb.GrantedStreams = append(hb.GrantedStreams, sequence)
	}
	for _, s := range w.InheritedStreams {
		hb.InheritedStreams = append(hb.InheritedStreams, s.openStream(now))
	}
	for _, m := range w.Watermarks {
		received, markErr := m.watermark()
		if markErr != nil {
			return hb, markErr
		}
		hb.Watermarks = append(hb.Watermarks, received)
	}
	for _, s := range w.PeerStatuses {
		peer, peerErr := s.VM.vm()
		if peerErr != nil {
			return hb, peerErr
		}
		hb.PeerStatuses = append(hb.PeerStatuses, dragonflypass.PeerStatus{VM: peer, Incarnation: s.Incarnation, HeartbeatAge: time.Duration(s.HeartbeatAge)})
	}
	for _, l := range w.ShardLoads {
		hb.ShardLoads = append(hb.ShardLoads, dragonflypass.ShardLoad{
			Shard:   dragonflypass.Shard{Service: dragonflypass.ServiceID(l.Service), Part: toPart(l.Zone, l.Index)},
			Servers: l.Servers, Slots: l.Slots, Streams: l.Streams, Backlog: time.Duration(l.Backlog),
		})
	}
	for _, s := range w.Parts {
		hb.Parts = append(hb.Parts, s.status(now))
	}
	for _, s := range w.Requests {
		hb.Requests = append(hb.Requests, s.status(now))
	}
	for _, report := range w.Costs {
		hb.Costs = append(hb.Costs, report.report())
	}
	for _, report := range w.Paces {
		hb.Paces = append(hb.Paces, report.report())
	}
	if len(w.ZoneSizes) > 0 {
		hb.ZoneSizes = make(map[dragonflypass.AvailabilityZone]int, len(w.ZoneSizes))
		for zone, size := range w.ZoneSizes {
			hb.ZoneSizes[dragonflypass.AvailabilityZone(zone)] = size
		}
	}
	return hb, err
}

// Transcode encodes and decodes a heartbeat and returns its encoded size in bytes, zero if decoding fails.
func Transcode(hb dragonflypass.Heartbeat) int {
	data := mustMarshal(envelope{ID: 1, Kind: kindHeartbeat, Body: mustMarshal(toHeartbeat(hb, time.Now()))})
	var e envelope
	var wire heartbeat
	if cbor.Unmarshal(data, &e) != nil || cbor.Unmarshal(e.Body, &wire) != nil {
		return 0
	}
	if _, err := wire.heartbeat(time.Now()); err != nil {
		return 0
	}
	return len(data)
}
