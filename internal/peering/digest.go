package peering

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// Member describes a gateway to its peers.
type Member struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	// Callers is the address for client requests, Control the address for calls from
	// other gateways.
	Callers string `json:"callers"`
	Control string `json:"control"`
	// Incarnation identifies a start of the gateway; it increases with each start.
	Incarnation int64 `json:"incarnation"`
}

// Digest is the load report that gateways exchange periodically.
type Digest struct {
	Member Member
	// Uptime is the time since the start of the gateway by its own clock. It orders the
	// digests of an incarnation.
	Uptime time.Duration
	// Ready is true while the gateway accepts requests, Stopping once it has been
	// asked to stop.
	Ready    bool
	Stopping bool
	// Copies describes the gateway's copy of each kind of object.
	Copies map[string]CopyState
	// Configuration is the version of the configuration in force, 0 if there is none.
	Configuration int64
	// Loads describes the gateway's requests at each endpoint.
	Loads []Load
	// Demands describes the gateway's requests for each service.
	Demands []Demand
	// Capacities describes the endpoints that the gateway owns.
	Capacities []Capacity
	// Statuses holds what the loaders of the endpoints that the gateway owns reported.
	Statuses []EndpointStatus
	// Reports describes other cells. Only some digests include it.
	Reports []Report
	// Rollouts lists the model versions known to the gateway, with their ages.
	Rollouts []Rollout
	// Quarantine describes crashes of engines and the prompt parts that cause them.
	Quarantine quarantine.Digest
	// Announced holds what endpoints said about themselves.
	Announced []Announced
	// ServiceReports holds what endpoints that report their speed sent to the gateway last.
	ServiceReports []ServiceReports
	// ReadsStore is true while the gateway reads the object store and it responds.
	ReadsStore bool
	// BeginsReading is true while the gateway waits for the first responses of the object store,
	// none of which has failed.
	BeginsReading bool
	// WroteCheckpoint is the time since the gateway wrote the checkpoint in the object store, 0 if it
	// never did.
	WroteCheckpoint time.Duration
	// Others lists other gateways that are alive. Only some digests include them.
	Others []Member
	// AskOthers requests a reply that includes Others, AskReports one that includes
	// Reports.
	AskOthers  bool
	AskReports bool
}

// CopyState describes a gateway's copy of the objects of a kind.
type CopyState struct {
	Position informer.Position
	// Retained is the number of objects of the copy that the store lost.
	Retained int
}

// idle reports whether the gateway has no requests, at endpoints or in queues.
func (d *Digest) idle() bool {
	for _, load := range d.Loads {
		if load.Running > 0 {
			return false
		}
	}
	for _, demand := range d.Demands {
		if demand.Waiting > 0 || demand.Late > 0 {
			return false
		}
	}
	return true
}

// Rollout is a model version that the operators requested.
type Rollout struct {
	Model   string
	Version int64
	// Age is the time since the version became known to any gateway.
	Age time.Duration
}

// Load describes the requests of a gateway at an endpoint.
type Load struct {
	Endpoint string
	// Running is the number of the gateway's requests at the endpoint.
	Running int
	// Unread is the number of pending prefill tokens: the prompt tokens of those requests
	// that have no response yet.
	Unread int
	// Tokens is the number of prompt and expected response tokens of the gateway's requests,
	// if the engine reports the size of its memory.
	Tokens int
	// LentTo names the gateway that, besides the owner of the endpoint, may send
	// requests to it. Only the owner's value is authoritative.
	LentTo string
}

// EndpointStatus is the status of an engine as its loader reported it.
type EndpointStatus struct {
	Endpoint string
	Status   engine.Status
	// Responding is true if the engine responded to its loader.
	Responding bool
	// Age is the time since the status was received.
	Age time.Duration
}

// ServiceReports holds the reports of the endpoints of a service.
type ServiceReports struct {
	Service string
	Reports []EndpointReport
}

// EndpointReport is the load that an endpoint reported in a response to the gateway.
type EndpointReport struct {
	Endpoint string
	// Percent is the time that work takes, in percent of the usual time.
	Percent int
	Running int
	Waiting int
	// AgeMillis is the time since the response in milliseconds.
	AgeMillis int
}

// Demand describes the request load of a gateway for a service.
type Demand struct {
	Service string
	// Rate is the number of requests per second.
	Rate float64
	// Waiting is the number of requests queued for an endpoint.
	Waiting int
	// Late is the number of late requests queued behind these.
	Late int
	// Lacks lists the priorities whose requests arrived on time and recently had to queue or
	// were refused for overload.
	Lacks []Lack
}

// Lack records when requests of a priority last lacked a place at an endpoint.
type Lack struct {
	Priority int
	Age      time.Duration
}

// Peer is the most recent state of another gateway.
type Peer struct {
	Digest Digest
	// ReceivedAt is when Digest was received.
	ReceivedAt time.Time
}
