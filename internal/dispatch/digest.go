package dispatch

import (
	"maps"
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// maxShare bounds what a gateway with little demand of its own assumes of others.
const maxShare = 3

// RecordDigest records what another gateway has at the endpoints.
func (d *Dispatcher) RecordDigest(digest peering.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	name := digest.Member.Name
	told := make(map[string]bool, len(digest.Loads))
	for _, load := range digest.Loads {
		told[load.Endpoint] = true
		held := d.state(load.Endpoint)
		if held.others == nil {
			held.others = map[string]foreignLoad{}
		}
		held.others[name] = foreignLoad{running: load.Running, unread: load.Unread, heard: now, lentTo: load.LentTo}
	}
	for id, held := range d.endpoints {
		if !told[id] {
			delete(held.others, name)
		}
	}
	d.updateShares(now)
	d.serveAll(now)
}

// updateShares compares the demands of the gateways that are alive.
func (d *Dispatcher) updateShares(now time.Time) {
	own := 0.0
	for _, service := range d.services {
		own += service.demand.rate(now)
	}
	d.shares = map[string]float64{}
	d.peers = d.Peers()
	for _, peer := range d.peers {
		theirs := 0.0
		for _, demand := range peer.Digest.Demands {
			theirs += demand.Rate
		}
		d.shares[peer.Digest.Member.Name] = min(maxShare, (theirs+1)/(own+1))
	}
	for _, held := range d.endpoints {
		for name := range held.others {
			if _, alive := d.shares[name]; !alive {
				delete(held.others, name)
			}
		}
	}
}

// LocalLoad returns the gateway's own load, for the others.
func (d *Dispatcher) LocalLoad() (loads []peering.Load, demands []peering.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	lent := d.lend(now)
	for id, held := range d.endpoints {
		if held.running > 0 || lent[id] != "" {
			loads = append(loads, peering.Load{Endpoint: id, Running: held.running, Unread: held.unread, LentTo: lent[id]})
		}
	}
	for name, service := range d.services {
		demands = append(demands, peering.Demand{Service: name, Rate: service.demand.rate(now), Waiting: len(service.waiting)})
	}
	return loads, demands
}

// lend returns to which gateways the own endpoints are lent.
func (d *Dispatcher) lend(now time.Time) map[string]string {
	all := map[string]string{}
	for service, held := range d.ownership {
		held.lending.renew(now, held.ownedBy(d.Self.Name), d.peers, service)
		maps.Copy(all, held.lending.lent)
	}
	return all
}
