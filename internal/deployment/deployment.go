// Package deployment describes the instance that a process runs on, its peers and
// regions, and the limits agreed on with the operators. It only holds values;
// package platform reads them.
package deployment

import "time"

// Deployment holds the environment and limits that a process is started with.
type Deployment struct {
	Instance  Instance
	Role      string
	Listen    Listen
	PeerPorts Ports
	Resources Resources
	Bounds    Bounds
	Store     Store
	Endpoint  Endpoint
	// Seeds are addresses of other gateways; they may be out of date.
	Seeds []string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool
}

// Instance identifies the instance and its location.
type Instance struct {
	Name             string
	AvailabilityZone string
	Region           string
	IP               string
}

// Listen holds the addresses that a process listens on. An empty address is not used.
type Listen struct {
	// Clients is the address for client requests.
	Clients string
	// Readiness is the address for the platform's readiness probes, which report whether
	// the process accepts requests.
	Readiness string
	// Directory is the address at which clients look up the addresses for their
	// requests.
	Directory string
	// Control is the address for control calls. New instances are started with it.
	Control string
}

// Ports is a range of ports, both ends included.
type Ports struct {
	First int
	Last  int
}

// Resources holds the limits on the resources that a process may use.
type Resources struct {
	CPUShare            float64
	MemoryBytes         int64
	FileDescriptors     int
	LinkBytesPerSecond  float64
	StoreReadsPerSecond float64
	// BodyTime is the time that a client has for the body of a request, and UnreadTime the time
	// in which it must read some of a response; 0 means the default.
	BodyTime   time.Duration
	UnreadTime time.Duration
}

// Store holds the address of the object API and the maximum size of a value.
type Store struct {
	Address       string
	MaxValueBytes int
}

// Endpoint describes the engine on the same instance as a loader. It is zero on other
// instances.
type Endpoint struct {
	Address string
	Service string
}

// Bounds holds the limits agreed on with the operators.
type Bounds struct {
	// ConfigurationApply is the time within which a new configuration takes effect.
	ConfigurationApply time.Duration
	// Drain is how long a leaving endpoint may still receive requests.
	Drain time.Duration
	// ZoneEvacuation is the time within which an availability zone that is taken out of
	// service stops receiving requests.
	ZoneEvacuation time.Duration
	// Rollout is the time after which no request starts on replaced weights.
	Rollout time.Duration
	// GracePeriod is the time between the stop signal and the kill.
	GracePeriod time.Duration
	// RecoveryTime is how long an instance must have run without a disruption before the
	// bounds apply to it.
	RecoveryTime time.Duration
	// AddressTTL is the maximum time for which clients cache addresses.
	AddressTTL time.Duration
	// AddressReuseDelay is the time after which a released address may be assigned to another
	// endpoint.
	AddressReuseDelay time.Duration
	// Heartbeat is how often endpoints renew their entries in the object store.
	Heartbeat time.Duration
	// EventDelay is the maximum delay of an event of a stream.
	EventDelay  time.Duration
	RetryBudget RetryBudget
	ColdStart   ColdStart
}

// RetryBudget limits the requests that a service receives in addition to the first attempt
// of each request.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// ColdStart limits the requests that an endpoint receives per second during its cold start:
// its cold start rate times Overshoot, plus Tolerance.
type ColdStart struct {
	Overshoot float64
	Tolerance float64
}
