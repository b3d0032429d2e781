package allocator

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// HandleHeartbeat renews the permits of the streams that an entry VM has open, takes over its streams that another owner
// granted, and removes the permits of streams that it no longer has.
func (a *Allocator) HandleHeartbeat(heartbeat dragonflypass.Heartbeat) {
	now := a.Timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastHeartbeats[heartbeat.From.ID] = now
	for _, sequence := range heartbeat.GrantedStreams {
		id := dragonflypass.StreamID{VM: heartbeat.From.ID, Incarnation: heartbeat.Incarnation, Sequence: sequence}
		if p, ok := a.permits[id]; ok {
			p.lastReported = now
		}
	}
	for _, stream := range heartbeat.InheritedStreams {
		a.adopt(stream, now)
	}
	for id, p := range a.permitsByVM[heartbeat.From.ID] {
		if p.lastReported.Equal(now) {
			continue
		}
		if id.Incarnation != heartbeat.Incarnation || now.Sub(p.grantedAt) > heartbeatGrace {
			a.removePermit(p, now)
			a.Meter.Add(dragonflypass.CountPermitExpired, 1)
		}
	}
}

// adopt takes over a stream that another owner granted; the mutex must be held.
func (a *Allocator) adopt(stream dragonflypass.OpenStream, now time.Time) {
	if p, ok := a.permits[stream.Stream]; ok {
		p.lastReported = now
		return
	}
	c := a.cluster(stream.Shard())
	if c == nil || c.servers[stream.Server] == nil {
		return
	}
	p := &permit{
		cluster: c, server: c.servers[stream.Server], parts: 1 + len(stream.Helpers), tokens: stream.PromptTokens + c.costModel.MeanOutputTokens,
		grantedAt: now, firstToken: now.Add(stream.TimeToFirstToken), initialFirstToken: now.Add(stream.TimeToFirstToken), prefilled: stream.Prefilled, lastReported: now,
		request: dragonflypass.PermitRequest{
			Stream: stream.Stream, Service: stream.Service, PromptTokens: stream.PromptTokens, MaxEventGap: stream.MaxEventGap, Deadline: stream.Deadline,
			Account: stream.Account, Fingerprint: stream.Fingerprint,
		},
	}
	for _, id := range stream.Helpers {
		if s := c.servers[id]; s != nil {
			p.helpers = append(p.helpers, s)
		}
	}
	a.addPermit(p)
	p.short = stream.PromptTokens > 0 && c.costModel.PrefillTime(stream.PromptTokens) <= time.Duration(min(c.shortServers, maxParts))*maxShortPartTime
	if p.short {
		c.shortPermits++
	}
	a.addToServers(p, now)
	for _, s := range p.servers() {
		s.engine.TrimPrefill(stream.Stream, stream.TimeToFirstToken)
	}
}
