package configuration

import "time"

// RouteKind classifies the requests of a route by how they may be retried.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests are executed at most once.
	AtMostOnce
	// Stream requests receive a stream of events as the response.
	Stream
)

// String returns the name of the kind that logs and metrics use.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "onceOnly"
	default:
		return "stream"
	}
}

// Route maps the requests to a host with a path prefix to services. It must not be
// changed once it is part of a Configuration.
type Route struct {
	Name string
	Host string
	// PathPrefix starts and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time that a request waits for its final response.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to a stream's first event, within
	// which the request counts as served on time, with its full value.
	TargetLatency time.Duration
	// TargetGap is the maximum time between two events of a stream that is still on
	// time.
	TargetGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Targets are the services among which the route's requests are distributed.
	Targets []Target
	// MaxAttempts is the maximum number of endpoints to which one request is sent.
	MaxAttempts int
	// Public is true if requests to the route require no key.
	Public bool
	// Resumable is true if a stream may be resumed at another endpoint.
	Resumable bool
	// Regions are the regions that may handle the route's requests; empty means all.
	Regions []string
}

// Target is a service and its relative share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request to the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickTarget returns the service for a request. The fraction, at least 0 and less than
// 1, selects a target in proportion to the weights.
func (r *Route) PickTarget(fraction float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := fraction * total
	for _, target := range r.Targets {
		if remaining -= target.Weight; remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
