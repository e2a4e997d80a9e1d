package gateway

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membudget"
)

const (
	// clientHeaderTime is the time for the first request on a connection and for the header of a
	// request whose first bytes arrived, unless the configuration grants more.
	clientHeaderTime = 5 * time.Second
	// clientIdleTime is how long an idle client connection is kept open, unless the configuration
	// grants more. Clients close first.
	clientIdleTime = 60 * time.Second
	// timeMargin is added to the times that the configuration grants to clients.
	timeMargin = time.Second
)

// Divisors of the number of file descriptors that give the connections at each address. A client's
// request needs a connection to an endpoint as well, and some are for the object store and the log.
const (
	clientShare    = 4
	readinessShare = 16
	directoryShare = 16
	controlShare   = 4
	// defaultDescriptors applies if the settings name no number.
	defaultDescriptors = 8192
)

// callerLimiters limit the connections at the gateway's addresses.
type callerLimiters struct {
	clients   *callerconn.Limiter
	readiness *callerconn.Limiter
	directory *callerconn.Limiter
	control   *callerconn.Limiter
}

func (g *Gateway) newLimiters() callerLimiters {
	descriptors := g.Deployment.Resources.FileDescriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	limiter := func(address string, share int) *callerconn.Limiter {
		return &callerconn.Limiter{
			Max: max(1, descriptors/share), Budget: g.memory, Bytes: callerconn.HTTPBytes, HeaderTime: g.headerTime, IdleTime: g.idleTime,
			Body: callerconn.BodyRateOf(g.Deployment.Resources.BodyTime), Unread: callerconn.UnreadRateOf(g.Deployment.Resources.UnreadTime),
			OnLimit: func(limit callerconn.Limit, remote string) { g.recordLimit(address, limit, remote) },
		}
	}
	return callerLimiters{
		clients: limiter("clients", clientShare), readiness: limiter("readiness", readinessShare), directory: limiter("directory", directoryShare),
		control: callerconn.NewControlLimiter(max(1, descriptors/controlShare), g.memory, func(limit callerconn.Limit, remote string) { g.recordLimit("control", limit, remote) }),
	}
}

// headerTime returns the time in which the header of a request must arrive.
func (g *Gateway) headerTime() time.Duration {
	if config := g.observer.Configuration(); config != nil && config.Limits().HeaderTimeout > 0 {
		return max(clientHeaderTime, config.Limits().HeaderTimeout+timeMargin)
	}
	return clientHeaderTime
}

// idleTime returns how long an idle connection is kept.
func (g *Gateway) idleTime() time.Duration {
	if config := g.observer.Configuration(); config != nil && config.Limits().IdleTimeout > 0 {
		return max(clientIdleTime, config.Limits().IdleTimeout+timeMargin)
	}
	return clientIdleTime
}

// recordLimit counts and logs a limit that a client has reached.
func (g *Gateway) recordLimit(address string, limit callerconn.Limit, remote string) {
	g.metrics.limits.WithLabelValues(address, string(limit)).Inc()
	g.Log.Emit(event.ClientLimited, event.Fields{"address": address, "limit": string(limit), "remote": remote})
}

// recordEviction counts and logs that a user of the memory was given up.
func (g *Gateway) recordEviction(class membudget.Class, bytes int) {
	g.metrics.evictions.WithLabelValues(class.String()).Inc()
	g.Log.Emit(event.MemoryGivenUp, event.Fields{"class": class.String(), "bytes": bytes})
}
