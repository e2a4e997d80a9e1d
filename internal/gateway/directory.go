package gateway

import (
	"context"
	"encoding/json"
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
	// gatewayKind is the kind of the objects in which gateways say where they are.
	gatewayKind = "gateways"
	// registerPause is the pause after a registration that failed.
	registerPause = 500 * time.Millisecond
	// addressTTL is how long callers may keep an answer of the directory. Some keep it
	// three times as long.
	addressTTL = time.Second
	// maxAddresses is the most addresses of an answer that count.
	maxAddresses = 64
)

// applyMembers learns of the gateways in the store.
func (g *Gateway) applyMembers(snapshot informer.Snapshot) {
	for name, object := range snapshot.Objects {
		var member peering.Member
		if err := json.Unmarshal(object.Value, &member); err != nil {
			g.Log.Emit(event.ObjectUnreadable, event.Fields{"object": gatewayKind + "/" + name, "error": err.Error()})
			continue
		}
		g.table.AddMember(member)
	}
}

// register writes into the store where the gateway is.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := g.store.Create(ctx, gatewayKind, g.self.Name, g.self)
		if errors.Is(err, informer.ErrConflict) {
			_, err = g.store.Replace(ctx, gatewayKind, g.self.Name, 0, g.self)
		}
		if err == nil {
			return
		}
		g.Log.Emit(event.StoreUnreachable, event.Fields{"kind": gatewayKind, "error": err.Error()})
		concurrency.Sleep(ctx, registerPause)
	}
}

// directory tells callers which gateways to use.
func (g *Gateway) directory(c *fasthttp.RequestCtx) {
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

// addresses returns the gateways that a caller should use: those of its own region
// that take requests. If there is none, those of the regions where all requests for
// the host may be handled come first.
func (g *Gateway) addresses(query platform.DirectoryQuery) []string {
	var near, home, other []string
	homes := homeRegions(g.observer.Configuration(), query.Host)
	for _, digest := range g.takingRequests() {
		switch {
		case digest.Region == query.Region:
			near = append(near, digest.Callers)
		case slices.Contains(homes, digest.Region):
			home = append(home, digest.Callers)
		default:
			other = append(other, digest.Callers)
		}
	}
	for _, choice := range [][]string{near, home, other} {
		if len(choice) > 0 {
			return choice[:min(len(choice), maxAddresses)]
		}
	}
	return nil
}

// takingRequests returns the gateways that are alive and take requests.
func (g *Gateway) takingRequests() []peering.Member {
	var members []peering.Member
	if g.ready() {
		members = append(members, g.self)
	}
	for _, peer := range g.table.Alive() {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			members = append(members, peer.Digest.Member)
		}
	}
	return members
}

// homeRegions returns the regions in which every route of a host may be handled; nil
// means all.
func homeRegions(current *configuration.Configuration, host string) []string {
	if current == nil {
		return nil
	}
	var homes []string
	bound := false
	for _, route := range current.HostRoutes(host) {
		switch {
		case len(route.Regions) == 0:
		case !bound:
			homes, bound = route.Regions, true
		default:
			homes = intersect(homes, route.Regions)
		}
	}
	return homes
}
