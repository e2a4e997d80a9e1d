package configuration

import "time"

// RouteKind says what may be repeated of a route's requests.
type RouteKind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind as logs and metrics show it.
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

// Route says where requests of a host with a path prefix go. It must not be
// changed once it is part of a Configuration.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a request waits for its final answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, within
	// which it earns its full worth.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that is
	// still on time.
	TargetGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Targets are the services that share the route's requests.
	Targets []Target
	// MaxAttempts is the most endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Regions are the only ones that may handle the route's requests; empty means
	// all.
	Regions []string
}

// Target is a service with its part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// PickTarget returns the service for a request. At is a number from 0 up to 1 that
// spreads requests over the targets.
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
