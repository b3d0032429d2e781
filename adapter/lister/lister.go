package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/dialer"
)

const (
	// dialTimeout limits how long connecting to the platform may take.
	dialTimeout = time.Second
	// maxListBytes is the maximum size of the list in bytes.
	maxListBytes = 8 << 20
)

// List is the JSON form of the platform's list of VMs.
type List struct {
	VMs []VM `json:"vms"`
}

// VM is the JSON form of one entry of the list.
type VM struct {
	ID      string         `json:"id"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving,omitempty"`
}

// Lister reads the platform's list of VMs over HTTP.
type Lister struct {
	// Address is the address at which the platform serves the list.
	Address netip.AddrPort

	client *http.Client
}

var _ dragonflypass.Directory = (*Lister)(nil)

// New returns a client of the platform's list of VMs, served at the address.
func New(address netip.AddrPort) *Lister {
	return &Lister{Address: address, client: &http.Client{Transport: dialer.NewTransport(dialTimeout)}}
}

// Close closes the idle connections.
func (l *Lister) Close() { l.client.CloseIdleConnections() }

// VMs returns the live and leaving VMs. Every error is ErrUnavailable.
func (l *Lister) VMs(ctx context.Context) ([]dragonflypass.PlatformVM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/vms", l.Address), nil)
	if err != nil {
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, response.Status)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, eris.Wrap(dragonflypass.ErrUnavailable, err.Error())
	}
	vms := make([]dragonflypass.PlatformVM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		vms = append(vms, dragonflypass.PlatformVM{
			ID: dragonflypass.VMID(vm.ID), Zone: dragonflypass.AvailabilityZone(vm.Zone), Peer: vm.Address, Leaving: vm.Leaving,
		})
	}
	return vms, nil
}
