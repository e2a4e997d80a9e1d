package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/platform"
)

// gatewayKind is the kind of the objects in which gateways say where they are.
const gatewayKind = "gateways"

// member is what a gateway says of itself in the store.
type member struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	Callers          string `json:"callers"`
}

// gateways holds the gateways that are known. It is safe for concurrent use.
type gateways struct {
	mu      sync.Mutex
	members map[string]member
}

func (g *gateways) apply(snapshot informer.Snapshot) {
	members := map[string]member{}
	for name, object := range snapshot.Objects {
		var held member
		if json.Unmarshal(object.Value, &held) == nil {
			members[name] = held
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = members
}

func (g *gateways) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, len(g.members))
}

func (g *gateways) all() []member {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]member, 0, len(g.members))
	for _, held := range g.members {
		list = append(list, held)
	}
	return list
}

// register writes into the store where the gateway is.
func (g *Gateway) register(ctx context.Context) {
	self := member{
		Name: g.Deployment.Instance.Name, AvailabilityZone: g.Deployment.Instance.AvailabilityZone,
		Region: g.Deployment.Instance.Region, Callers: g.Deployment.Listen.Callers,
	}
	for ctx.Err() == nil {
		_, err := g.store.Create(ctx, gatewayKind, self.Name, self)
		if errors.Is(err, informer.ErrConflict) {
			_, err = g.store.Replace(ctx, gatewayKind, self.Name, 0, self)
		}
		if err == nil {
			return
		}
		g.Log.Emit(event.StoreUnreachable, event.Fields{"error": err.Error()})
		duty.Sleep(ctx, time.Second)
	}
}

// addressTTL is how long callers may keep an answer of the directory.
const addressTTL = 2 * time.Second

// directory tells callers which gateways to use: those of their own region.
func (g *Gateway) directory(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.PathDirectory {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	query := platform.ReadDirectoryQuery(c.QueryArgs())
	var near, all []string
	for _, held := range g.gateways.all() {
		all = append(all, held.Callers)
		if held.Region == query.Region {
			near = append(near, held.Callers)
		}
	}
	if len(near) == 0 {
		near = all
	}
	body, err := platform.EncodeDirectory(near, addressTTL)
	if err != nil || len(near) == 0 {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
