package detector

import (
	"slices"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/core/elector"
)

// Candidates returns the VMs that may perform the duty that the key names in the zone, most preferred first: the live hubs
// of the zone, then those of the other zones. The caller must not change the slice.
func (d *Detector) Candidates(key string, zone dragonflypass.AvailabilityZone) []dragonflypass.VM {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	cacheKey := candidateKey{duty: key, zone: zone}
	if vms, ok := d.candidates[cacheKey]; ok {
		return vms
	}
	var near, far []dragonflypass.Member
	for hubZone, zoneHubs := range d.zoneHubs() {
		if hubZone == zone {
			near = elector.Live(zoneHubs)
			continue
		}
		far = append(far, elector.Live(zoneHubs)...)
	}
	var vms []dragonflypass.VM
	for _, m := range append(elector.Order(key, near), elector.Order(key, far)...) {
		vms = append(vms, m.VM)
	}
	d.candidates[cacheKey] = vms
	return vms
}

// candidateKey identifies a cached result of Candidates.
type candidateKey struct {
	duty string
	zone dragonflypass.AvailabilityZone
}

// zoneHubs returns the hubs of all zones. It is called with the mutex held.
func (d *Detector) zoneHubs() map[dragonflypass.AvailabilityZone][]dragonflypass.Member {
	if d.hubs == nil {
		members := []dragonflypass.Member{d.selfMember()}
		for _, m := range d.members {
			members = append(members, m.Member)
		}
		d.hubs = elector.Hubs(members)
	}
	return d.hubs
}

// IsHub reports whether this VM is a hub of its zone.
func (d *Detector) IsHub() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.ContainsFunc(d.zoneHubs()[d.Self.Zone], func(m dragonflypass.Member) bool { return m.VM.ID == d.Self.ID })
}

// Isolated reports whether this VM knows of no other live VM.
func (d *Detector) Isolated() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, m := range d.members {
		if m.State == dragonflypass.MemberLive {
			return false
		}
	}
	return true
}
