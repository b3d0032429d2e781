package relayer

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// sendRequest sends the request and records what the response says about further requests to the server.
func (r *Relayer) sendRequest(ctx context.Context, request dragonflypass.BackendRequest) (dragonflypass.BackendResponse, error) {
	instance := r.Excluder.Instance(request.Server, request.Address)
	response, err := r.Backend.Send(ctx, request)
	var refusal *dragonflypass.ServerRefusal
	switch {
	case err == nil:
		r.Excluder.Record(instance, response.Head().Notice)
	case !errors.As(err, &refusal):
	case !refusal.Misdirected:
		r.Excluder.Record(instance, refusal.Notice)
	case refusal.Notice.Leaving:
		if resident, ok := r.Excluder.InstanceAt(request.Address); ok && resident.Server != request.Server {
			r.Excluder.Record(resident, refusal.Notice)
		}
	}
	return response, err
}

// returnExcluded returns the permit unused and reports true if one of its servers may receive no new request. The server
// may have said so while the permit was requested, or only to this VM, or its zone is evacuated.
func (r *Relayer) returnExcluded(j *job, permit dragonflypass.Permit) bool {
	excluded := permitServers(permit, r.Excluder.Excluded)
	evacuated := permitServers(permit, r.Evacuator.ServerEvacuated)
	if len(excluded)+len(evacuated) == 0 {
		return false
	}
	j.excluded = append(j.excluded, excluded...)
	if len(evacuated) > 0 {
		r.excludeEvacuated(j, evacuated)
	}
	r.Meter.Add(dragonflypass.CountPermitReturned, 1)
	r.Permits.Release(permit, dragonflypass.PermitRelease{
		Stream: permit.Stream, Server: permit.Server, Outcome: dragonflypass.OutcomeRefused, Leaving: permitServers(permit, r.Excluder.Leaving),
	})
	return true
}

// excludeEvacuated counts a permit whose servers, as far as they are given, are in evacuated zones. The next permit of the
// request is not for another server there: its owner may not have learnt of the evacuation.
func (r *Relayer) excludeEvacuated(j *job, servers []dragonflypass.ServerID) {
	r.Meter.Add(dragonflypass.CountPermitEvacuated, 1)
	for _, id := range slices.Concat(servers, r.Evacuator.EvacuatedServers(j.service)) {
		if !slices.Contains(j.excluded, id) {
			j.excluded = append(j.excluded, id)
		}
	}
}

// checkEvacuated returns errEvacuated, and excludes the servers in evacuated zones from further attempts, if a server of the
// permit is in one. The zone may have been evacuated since the permit was granted.
func (r *Relayer) checkEvacuated(j *job, permit dragonflypass.Permit) error {
	evacuated := permitServers(permit, r.Evacuator.ServerEvacuated)
	if len(evacuated) == 0 {
		return nil
	}
	r.excludeEvacuated(j, evacuated)
	return errEvacuated
}

// permitServers returns the servers of the permit, helpers included, that match.
func permitServers(permit dragonflypass.Permit, matches func(dragonflypass.ServerID, netip.AddrPort) bool) []dragonflypass.ServerID {
	var servers []dragonflypass.ServerID
	if matches(permit.Server, permit.Address) {
		servers = append(servers, permit.Server)
	}
	for _, h := range permit.Helpers {
		if matches(h.Server, h.Address) {
			servers = append(servers, h.Server)
		}
	}
	return servers
}

// retryAfter returns the retry delay given to the caller if no server was available or the servers failed: at least the
// time until one of them wants requests again, or may receive one while it is warming up.
func (r *Relayer) retryAfter(j *job) time.Duration {
	servers := r.Directory.Servers(j.service)
	return max(defaultRetryAfter, r.Excluder.Wait(servers), r.Balancer.Throttler.Wait(servers))
}
