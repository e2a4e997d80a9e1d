package peering

import "time"

// Member is a gateway as it describes itself.
type Member struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	// Callers is where it takes requests, Control where other gateways call it.
	Callers string `json:"callers"`
	Control string `json:"control"`
	// Incarnation tells starts of the gateway apart; it grows with each start.
	Incarnation int64 `json:"incarnation"`
}

// Digest is what a gateway tells the others again and again.
type Digest struct {
	Member Member
	// Ready is true while the gateway takes requests, Stopping once it was told to
	// stop.
	Ready    bool
	Stopping bool
	// Revisions holds the revision of its copy of each kind of objects.
	Revisions map[string]int64
	// Loads are its requests at each endpoint.
	Loads []Load
	// Demands are its requests for each service.
	Demands []Demand
	// Rollouts are the versions of models that it knows, and for how long.
	Rollouts []Rollout
	// Others are the gateways that it heard of lately; not every digest names them.
	Others []Member
	// AskOthers asks for a digest that names the other gateways.
	AskOthers bool
}

// Rollout is a version of a model that the operators named.
type Rollout struct {
	Model   string
	Version int64
	// Age is how long a gateway has known it.
	Age time.Duration
}

// Load is what a gateway has at an endpoint.
type Load struct {
	Endpoint string
	// Running is the number of its requests there.
	Running int
	// Unread is the number of their prompt tokens that were not answered yet.
	Unread int
	// LentTo names the gateway that may send there besides the owner of the endpoint;
	// only the owner's word counts.
	LentTo string
}

// Demand is how much a gateway asks of a service.
type Demand struct {
	Service string
	// Rate is the number of requests a second.
	Rate float64
	// Waiting is the number of requests that wait for an endpoint.
	Waiting int
}

// Peer is what is known about another gateway.
type Peer struct {
	Digest Digest
	// ReceivedAt is when its digest came.
	ReceivedAt time.Time
}
