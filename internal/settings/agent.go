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
	ControlAddress string   `json:"controlAddress" check:"required,address" doc:"Address for the system's own processes."`
	AdminAddress   string   `json:"adminAddress" check:"required,address" doc:"Address of metrics, health and readiness."`
	Endpoint       Endpoint `json:"endpoint" check:"required" doc:"The endpoint beside this agent."`
	Weights        Weights  `json:"weights" doc:"Weight distribution; model endpoints only."`
	// DrainTimeout bounds a graceful stop and the drain before a swap.
	DrainTimeout time.Duration `json:"drainTimeout" check:"positive" doc:"Longest time that a graceful stop, or the drain before a swap, waits for requests in flight."`
}

// Endpoint describes the endpoint beside an agent.
type Endpoint struct {
	URL  string `json:"url" check:"required,url" doc:"Base URL of the endpoint."`
	Pool string `json:"pool" check:"required" doc:"Name of the pool that the endpoint belongs to."`
	Kind string `json:"kind" check:"required" doc:"Kind of the endpoint: model or service."`
	// WarmLimit is the number of requests a warm endpoint works on at a time.
	WarmLimit int `json:"warmLimit" check:"positive" doc:"Requests that a warm endpoint works on at a time."`
	// ColdLimit is the number of requests an endpoint in cold start bears.
	ColdLimit int `json:"coldLimit" check:"positive" doc:"Requests that an endpoint in cold start works on at a time."`
	// ColdLatency is the first-token latency above which it counts as cold.
	ColdLatency time.Duration `json:"coldLatency" check:"positive" doc:"Time to the first byte above which the endpoint counts as cold."`
}

// Weights holds how an agent fetches weights.
type Weights struct {
	OriginURL   string         `json:"originUrl" check:"url" doc:"Base URL of the origin; required for model endpoints."`
	ChunkMemory bytesize.Bytes `json:"chunkMemory" doc:"Most memory for chunks, apart from the memory for control."`
	HomeRegion  string         `json:"homeRegion" doc:"Region that the origin's link ends in; required for model endpoints."`
	// FanOut is the number of children of an instance in a stripe's tree.
	FanOut int `json:"fanOut" check:"positive" doc:"Instances that one instance uploads each of its chunks to; also the number of stripes."`
	// ThinLinkDelay is the queueing delay that weights may add on a link
	// between regions.
	ThinLinkDelay time.Duration `json:"thinLinkDelay" check:"positive" doc:"Queueing delay that weights may add on a link between regions."`
	// LinkRate is what the instance's link carries a second in each direction.
	LinkRate bytesize.Bytes `json:"linkRate" doc:"What the instance's link carries a second in each direction; weights use what live traffic leaves of it. 0B means that they are not held back."`
}

// DefaultAgent returns the settings that a file may leave out.
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

// LoadAgent reads and checks an agent's settings file.
func LoadAgent(file string) (Agent, error) {
	loaded := DefaultAgent()
	err := load(file, &loaded, func(c *checker) {
		c.checkDistinct("workAddress", loaded.WorkAddress, "controlAddress", loaded.ControlAddress, "adminAddress", loaded.AdminAddress)
		checkAgent(c, loaded)
	})
	return loaded, err
}

// minLinkRate is the lowest rate at which the pieces of all chunks in flight
// follow each other before a peer gives up.
const minLinkRate = bytesize.MiB

func checkAgent(c *checker, loaded Agent) {
	if rate := loaded.Weights.LinkRate; rate != 0 && rate < minLinkRate {
		c.add("weights.linkRate", "%d bytes a second are below the least rate of %d", rate, minLinkRate)
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
