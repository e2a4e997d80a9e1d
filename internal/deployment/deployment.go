// Package deployment describes the instance that a process runs on, its
// neighbourhood, and the bounds that were agreed on with the operators. It only
// holds values; package platform reads them.
package deployment

import "time"

// Deployment is what a process knows when it starts.
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
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
}

// Instance is the identity of the machine.
type Instance struct {
	Name             string
	AvailabilityZone string
	Region           string
	IP               string
}

// Listen holds the addresses that a process serves; an empty one is not served.
type Listen struct {
	// Callers is where callers send requests.
	Callers string
	// Readiness is where the platform asks whether the process takes requests.
	Readiness string
	// Directory is where callers ask for addresses.
	Directory string
	// Control is an address that is known to new instances.
	Control string
}

// Ports is a range of ports, both ends included.
type Ports struct {
	First int
	Last  int
}

// Resources bound what a process may use.
type Resources struct {
	CPUShare       float64
	MemoryBytes    int64
	FileDescriptors    int
	LinkBytesPerS  float64
	StoreReadsPerS float64
}

// Store is the object API.
type Store struct {
	Address       string
	MaxValueBytes int
}

// Endpoint is the engine beside an agent; zero on other instances.
type Endpoint struct {
	Address string
	Service string
}

// Bounds are the agreed limits.
type Bounds struct {
	// ConfigurationApply is how soon a configuration is in force.
	ConfigurationApply time.Duration
	// Drain is how long a leaving endpoint may still get requests.
	Drain time.Duration
	// ZoneEvacuation is how soon a zone taken out of service gets no more requests.
	ZoneEvacuation time.Duration
	// Rollout is how soon no request begins on replaced weights.
	Rollout time.Duration
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// RecoveryTime is how long an instance must have been undisturbed to be held to
	// the bounds.
	RecoveryTime time.Duration
	// AddressTTL is the longest time for which callers keep addresses.
	AddressTTL time.Duration
	// ReuseAfter is how soon a free address may belong to another endpoint.
	ReuseAfter time.Duration
	// Heartbeat is how often endpoints renew their entries in the store.
	Heartbeat time.Duration
	// EventDelay is how long an event of a stream may be under way.
	EventDelay time.Duration
	RetryBudget      RetryBudget
	ColdStart       ColdStart
}

// RetryBudget bounds what a service gets beyond the first arrival of each request.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// ColdStart bounds what an endpoint in cold start gets in one second: its rate times
// Overshoot, and Tolerance more.
type ColdStart struct {
	Overshoot float64
	Tolerance float64
}
