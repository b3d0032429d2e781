package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dragonflypass/dragonflypass"
	"github.com/dragonflypass/dragonflypass/adapter/exposer"
)

func newFleetCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "fleet",
		Short:   "Print the fleet as one entry VM on the platform sees it; ask a hub for the load of the owners",
		Example: "  dragonflyctl fleet --admin 10.1.0.40:9190",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var dump exposer.Dump
			if err := c.call(command.Context(), http.MethodGet, "/debug/state", nil, &dump); err != nil {
				return err
			}
			return printFleet(command.OutOrStdout(), &dump)
		},
	}
}

// printFleet prints zones, versions, owners and failing servers as tables.
func printFleet(out io.Writer, d *exposer.Dump) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "seen by %s in %s at %s, %s\n", d.VM, d.Zone, d.At.Format(time.TimeOnly), readyText(d))
	fmt.Fprintln(w, "\nzone\tVMs\thubs\tservers")
	hubs, evacuated := hubsByZone(d), evacuationsByZone(d)
	for _, zone := range zonesOf(d) {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", zone, d.Zones[zone], strings.Join(hubs[zone], " "), cmp.Or(evacuated[zone], "in service"))
	}
	fmt.Fprintln(w, "\ntopic\tera\toffset\tcurrent\treaders")
	for _, t := range d.Topics {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s ago\t%s\n", t.Topic, cmp.Or(t.Era, "unknown"), t.EndOffset, time.Duration(t.Staleness)*time.Millisecond, joinVMs(t.Readers))
	}
	fmt.Fprintf(w, "route table\t%d\n", d.RoutingVersion)
	fmt.Fprintln(w, "\nservice\tshard\towner\tservers\tstreams\tslots\twait\tage")
	for _, o := range d.Owners {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Service, cmp.Or(o.Shard, "all"), o.VM, loadText(o.Load))
	}
	fmt.Fprintln(w, "\nfailing server\tfailures\treached\tejected until")
	for _, f := range d.FailingServers {
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\n", f.Server, f.Failures, !f.Unreachable, f.EjectedUntil.Format(time.TimeOnly))
	}
	return w.Flush()
}

func readyText(d *exposer.Dump) string {
	switch {
	case d.Leaving:
		return "which is leaving"
	case d.Ready:
		return "which is ready"
	}
	return "which is not ready"
}

// hubsByZone returns the hubs of each zone; a VM knows the zones of all hubs.
func hubsByZone(d *exposer.Dump) map[dragonflypass.AvailabilityZone][]string {
	zones := map[dragonflypass.VMID]dragonflypass.AvailabilityZone{d.VM: d.Zone}
	for _, m := range d.Members {
		zones[m.VM] = m.Zone
	}
	hubs := make(map[dragonflypass.AvailabilityZone][]string)
	for _, id := range d.Hubs {
		hubs[zones[id]] = append(hubs[zones[id]], string(id))
	}
	return hubs
}

// evacuationsByZone returns the text for each evacuated zone.
func evacuationsByZone(d *exposer.Dump) map[dragonflypass.AvailabilityZone]string {
	texts := make(map[dragonflypass.AvailabilityZone]string)
	for _, z := range d.EvacuatedZones {
		texts[z.Zone] = "evacuated since " + z.Since.Format(time.TimeOnly)
	}
	return texts
}

// zonesOf returns the zones with live VMs and the evacuated ones, sorted.
func zonesOf(d *exposer.Dump) []dragonflypass.AvailabilityZone {
	zones := slices.Collect(maps.Keys(d.Zones))
	for _, z := range d.EvacuatedZones {
		zones = append(zones, z.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func joinVMs(ids []dragonflypass.VMID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, " ")
}

// loadText returns the columns of a load summary.
func loadText(load *exposer.ShardLoad) string {
	if load == nil {
		return "not known"
	}
	return fmt.Sprintf("%d\t%d\t%d\t%s\t%s", load.Servers, load.Streams, load.Slots, time.Duration(load.Wait)*time.Millisecond, time.Duration(load.Age)*time.Millisecond)
}
