package settings

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/bytesize"
)

// Agent holds the settings of mimosaward-agent.
type Agent struct {
	Instance       Instance `json:"instance" check:"required" doc:"Identity of this instance."`
	Platform       Platform `json:"platform" check:"required" doc:"Addresses of the platform's services."`
	Log            Log      `json:"log" doc:"Log output."`
	WorkAddress    string   `json:"workAddress" check:"required,address" doc:"Address that entries send requests to."`
	ControlAddress string   `json:"controlAddress" check:"required,address" doc:"Address for control connections from other mimosaward processes."`
	AdminAddress   string   `json:"adminAddress" check:"required,address" doc:"Address that serves metrics, health and readiness."`
	Endpoint       Endpoint `json:"endpoint" check:"required" doc:"Endpoint that runs next to this agent."`
	Weights        Weights  `json:"weights" doc:"Weight distribution; model endpoints only."`
	// DrainTimeout is the timeout for requests in flight, both at a graceful stop
	// and in the drain before a weight swap.
	DrainTimeout time.Duration `json:"drainTimeout" check:"positive" doc:"Longest time that a graceful stop, or the drain before a weight swap, waits for requests in flight."`
}

// Endpoint describes the endpoint that an agent runs next to.
type Endpoint struct {
	URL  string `json:"url" check:"required,url" doc:"Base URL of the endpoint."`
	Pool string `json:"pool" check:"required" doc:"Name of the pool that the endpoint belongs to."`
	Kind string `json:"kind" check:"required" doc:"Kind of the endpoint: model or service."`
	// WarmLimit is the maximum number of concurrent requests of a warm endpoint.
	WarmLimit int `json:"warmLimit" check:"positive" doc:"Maximum number of concurrent requests of a warm endpoint."`
	// ColdLimit is the maximum number of concurrent requests during a cold start.
	ColdLimit int `json:"coldLimit" check:"positive" doc:"Maximum number of concurrent requests of an endpoint in cold start."`
	// ColdLatency is the time to the first byte above which the endpoint counts as
	// cold.
	ColdLatency time.Duration `json:"coldLatency" check:"positive" doc:"Time to the first byte above which the endpoint counts as cold."`
}

// Weights configures how an agent fetches weights.
type Weights struct {
	OriginURL   string         `json:"originUrl" check:"url" doc:"Base URL of the origin; required for model endpoints."`
	ChunkMemory bytesize.Bytes `json:"chunkMemory" doc:"Maximum memory for chunks, not counting the memory of the control plane."`
	HomeRegion  string         `json:"homeRegion" doc:"Region that the link from the origin ends in; required for model endpoints."`
	// FanOut is the number of children of an instance in the distribution tree of
	// a stripe, and the number of stripes.
	FanOut int `json:"fanOut" check:"positive" doc:"Number of instances that one instance uploads each of its chunks to; also the number of stripes."`
	// ThinLinkDelay is the maximum queueing delay that weight transfers may add on
	// a link between regions.
	ThinLinkDelay time.Duration `json:"thinLinkDelay" check:"positive" doc:"Maximum queueing delay that weight transfers may add on a link between regions."`
	// LinkRate is the capacity of the instance's link in each direction, in bytes
	// per second. Zero turns the limit on weight transfers off.
	LinkRate bytesize.Bytes `json:"linkRate" doc:"Capacity of the instance's link in each direction, per second; weight transfers use what live traffic leaves of it. 0B means that weight transfers are not limited."`
}

// DefaultAgent returns the agent settings with the default of each optional key.
func DefaultAgent() Agent {
	return Agent{
		Log:          defaultLog(),
		DrainTimeout: 30 * time.Second,
		Endpoint:     Endpoint{WarmLimit: 16, ColdLimit: 1, ColdLatency: 800 * time.Millisecond},
		Weights: Weights{
			ChunkMemory:   bytesize.GiB,
			FanOut:        8,
			ThinLinkDelay: 10 * time.Millisecond,
		},
	}
}

// LoadAgent reads and validates an agent's settings file.
func LoadAgent(file string) (Agent, error) {
	loaded := DefaultAgent()
	err := load(file, &loaded, func(c *checker) {
		c.checkDistinct("workAddress", loaded.WorkAddress, "controlAddress", loaded.ControlAddress, "adminAddress", loaded.AdminAddress)
		checkAgent(c, loaded)
	})
	return loaded, err
}

// minLinkRate is the lowest accepted LinkRate. At a lower rate, the slices of the
// chunks in flight would follow each other so slowly that a peer times out.
const minLinkRate = bytesize.MiB

// checkAgent reports settings of an agent that are invalid in combination.
func checkAgent(c *checker, loaded Agent) {
	if rate := loaded.Weights.LinkRate; rate != 0 && rate < minLinkRate {
		c.add("weights.linkRate", "%d bytes per second is below the minimum rate of %d", rate, minLinkRate)
	}
	switch loaded.Endpoint.Kind {
	case "model":
		if loaded.Weights.OriginURL == "" {
			c.add("weights.originUrl", "is required for a model endpoint")
		}
		if loaded.Weights.HomeRegion == "" {
			c.add("weights.homeRegion", "is required for a model endpoint")
		}
	case "service":
	default:
		c.add("endpoint.kind", "%q is neither \"model\" nor \"service\"", loaded.Endpoint.Kind)
	}
	if loaded.Endpoint.ColdLimit > loaded.Endpoint.WarmLimit {
		c.add("endpoint.coldLimit", "%d is above endpoint.warmLimit %d", loaded.Endpoint.ColdLimit, loaded.Endpoint.WarmLimit)
	}
}
