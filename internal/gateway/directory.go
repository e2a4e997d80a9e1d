package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// gatewayKind is the kind of the objects in which gateways register their addresses.
	gatewayKind = "gateways"
	// memberCoalesceDelay is the pause between watches of the registered gateways: digests
	// announce changes sooner.
	memberCoalesceDelay = time.Second
	// registerRetryDelay is the delay before a failed registration is retried.
	registerRetryDelay = 500 * time.Millisecond
	// registeredCopyWait is how long a gateway that starts waits for a copy of the registered
	// gateways, which shows whether it must write its record.
	registeredCopyWait = 500 * time.Millisecond
	// registrationCheckInterval is how often the registration is checked if the copy does not
	// change.
	registrationCheckInterval = 30 * time.Second
	// addressTTL is the maximum TTL of a directory response. Some clients cache it three
	// times as long.
	addressTTL = time.Second
	// maxAddresses is the maximum number of addresses in a directory response. Clients
	// ignore any beyond it.
	maxAddresses = 64
)

// applyMembers adds the gateways registered in the object store to the peer table.
func (g *Gateway) applyMembers(snapshot informer.Snapshot) {
	for _, object := range snapshot.Objects {
		member, err := decodeMember(object)
		if err != nil {
			g.observer.LogUnreadable(gatewayKind, object, err)
			continue
		}
		g.peerTable.AddMember(member)
	}
}

// decodeMember decodes the record of a gateway, which has the gateway's name.
func decodeMember(object informer.Object) (peering.Member, error) {
	var member peering.Member
	if err := json.Unmarshal(object.Value, &member); err != nil {
		return member, errors.Wrap(err, "decode the record of a gateway")
	}
	control, err := netip.ParseAddrPort(member.Control)
	switch {
	case member.Name == "" || member.Name != object.Name:
		return member, errors.Newf("the record names another gateway, %q", member.Name)
	case err != nil || control.Port() == 0:
		return member, errors.Newf("the record has the invalid control address %q", member.Control)
	case member.Incarnation < 0:
		return member, errors.Newf("the record has the negative incarnation %d", member.Incarnation)
	}
	return member, nil
}

// reservedAddress reports whether an address belongs to the object store or to a gateway.
func (g *Gateway) reservedAddress(address string) bool {
	listen := g.Deployment.Listen
	own := []string{g.Deployment.Store.Address, listen.Clients, listen.Control, listen.Readiness, listen.Directory}
	return slices.Contains(own, address) || slices.Contains(g.Deployment.Seeds, address) ||
		slices.ContainsFunc(g.peerTable.Alive(), func(peer peering.Peer) bool {
			return peer.Digest.Member.Callers == address || peer.Digest.Member.Control == address
		})
}

// register writes the gateway's member record into the object store, and again whenever the
// store has lost it, until ctx is done. A record that an earlier start has written stays: each
// write is a call for every reader too, and digests announce the incarnation.
func (g *Gateway) register(ctx context.Context) {
	g.awaitRegistered(ctx)
	for ctx.Err() == nil {
		changed := g.observer.Changed()
		if !g.unregistered() {
			waitForChange(ctx, changed, registrationCheckInterval)
			continue
		}
		record, err := g.store.Create(ctx, gatewayKind, g.self.Name, g.self)
		if errors.Is(err, informer.ErrConflict) {
			record, err = g.store.Replace(ctx, gatewayKind, g.self.Name, 0, g.self)
		}
		if err == nil {
			g.registeredAt = &informer.Position{Era: record.Era, Revision: record.Revision}
			continue
		}
		g.Log.Emit(event.StoreUnreachable, event.Fields{"kind": gatewayKind, "error": err.Error()})
		concurrency.Sleep(ctx, registerRetryDelay)
	}
}

// awaitRegistered waits for a copy of the registered gateways, and notes the position of the
// gateway's own record if it is in it.
func (g *Gateway) awaitRegistered(ctx context.Context) {
	for deadline := time.Now().Add(registeredCopyWait); ctx.Err() == nil && time.Now().Before(deadline); {
		changed := g.observer.Changed()
		if snapshot, synced := g.members.Snapshot(); synced {
			object := snapshot.Objects[g.self.Name]
			if object.Era == snapshot.Era && g.isOwnRecord(object) {
				position := snapshot.Position()
				g.registeredAt = &position
			}
			return
		}
		waitForChange(ctx, changed, time.Until(deadline))
	}
}

// isOwnRecord reports whether an object is the gateway's member record, of this start or an
// earlier one. With a later incarnation, other gateways would discard the digests.
func (g *Gateway) isOwnRecord(object informer.Object) bool {
	var stored peering.Member
	if json.Unmarshal(object.Value, &stored) != nil || stored.Incarnation < 0 || stored.Incarnation > g.self.Incarnation {
		return false
	}
	stored.Incarnation = g.self.Incarnation
	return stored == g.self
}

// unregistered reports whether the store does not have the gateway's member record. A copy of
// an era in which the record was written may be older than the record.
func (g *Gateway) unregistered() bool {
	if g.registeredAt == nil {
		return true
	}
	snapshot, synced := g.members.Snapshot()
	if !synced || snapshot.Era <= g.registeredAt.Era {
		return false
	}
	return !g.isOwnRecord(snapshot.Objects[g.self.Name])
}

// handleDirectory serves the addresses of the gateways that a client should use.
func (g *Gateway) handleDirectory(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.PathDirectory {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	query := platform.ParseDirectoryQuery(c.QueryArgs())
	addresses := g.addresses(query)
	body, err := platform.EncodeDirectoryResponse(addresses, min(addressTTL, g.bounds.Load().AddressTTL))
	if err != nil || len(addresses) == 0 {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// addresses returns the gateways that a client should use: the ready ones in its own
// region or, if there are none, in the regions of the host's routes or, if there are none
// either, in any other region.
func (g *Gateway) addresses(query platform.DirectoryQuery) []string {
	var sameRegion, hostRegion, other []string
	regions := hostRegions(g.observer.Configuration(), query.Host)
	for _, member := range g.readyMembers() {
		switch {
		case member.Region == query.Region:
			sameRegion = append(sameRegion, member.Callers)
		case slices.Contains(regions, member.Region):
			hostRegion = append(hostRegion, member.Callers)
		default:
			other = append(other, member.Callers)
		}
	}
	for _, group := range [][]string{sameRegion, hostRegion, other} {
		if len(group) > 0 {
			return group[:min(len(group), maxAddresses)]
		}
	}
	return nil
}

// readyMembers returns the gateways, including this one, that are alive and accept
// requests.
func (g *Gateway) readyMembers() []peering.Member {
	var members []peering.Member
	if g.ready() {
		members = append(members, g.self)
	}
	for _, peer := range g.peerTable.Alive() {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			members = append(members, peer.Digest.Member)
		}
	}
	return members
}

// readyGateways returns the names of the other gateways that are alive and accept requests.
func (g *Gateway) readyGateways() []string {
	var names []string
	for _, member := range g.readyMembers() {
		if member.Name != g.self.Name {
			names = append(names, member.Name)
		}
	}
	return names
}

// hostRegions returns the regions that every route of a host allows or, if there is none, those
// that any of its routes allows. It returns nil if no route restricts its regions.
func hostRegions(config *configuration.Configuration, host string) []string {
	if config == nil {
		return nil
	}
	var all, common []string
	for _, route := range config.HostRoutes(host) {
		switch {
		case len(route.Regions) == 0:
			continue
		case len(all) == 0:
			common = route.Regions
		default:
			common = intersect(common, route.Regions)
		}
		for _, region := range route.Regions {
			if !slices.Contains(all, region) {
				all = append(all, region)
			}
		}
	}
	if len(common) > 0 {
		return common
	}
	return all
}
