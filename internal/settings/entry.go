package settings

import "time"

// Entry holds the settings of mimosaward-entry.
type Entry struct {
	Instance       Instance `json:"instance" check:"required" doc:"Identity of this instance."`
	Platform       Platform `json:"platform" check:"required" doc:"Addresses of the platform's services."`
	Log            Log      `json:"log" doc:"Log output."`
	CallersAddress string   `json:"callersAddress" check:"required,address" doc:"Address that callers connect to."`
	ControlAddress string   `json:"controlAddress" check:"required,address" doc:"Address for control connections from other mimosaward processes."`
	AdminAddress   string   `json:"adminAddress" check:"required,address" doc:"Address that serves metrics, health and readiness."`
	Routing        Routing  `json:"routing" doc:"Routing of requests to endpoints."`
	// DrainTimeout is the timeout for requests in flight at a graceful stop.
	DrainTimeout time.Duration `json:"drainTimeout" check:"positive" doc:"Longest time that a graceful stop waits for requests in flight."`
	// AddressTTL is how long callers may cache the list of entry addresses.
	AddressTTL time.Duration `json:"addressKeep" check:"positive" doc:"How long callers may cache the list of entry addresses."`
}

// Routing configures how an entry routes requests to endpoints.
type Routing struct {
	SubsetSize        int           `json:"subsetSize" check:"positive" doc:"Number of endpoints of a pool that this entry uses."`
	MaxAttempts       int           `json:"attempts" check:"positive" doc:"Maximum number of endpoints that one request is offered to."`
	RetryPercent      int           `json:"retryPercent" check:"positive" doc:"Number of retries allowed per hundred first attempts."`
	AdmissionTimeout  time.Duration `json:"admissionWait" check:"positive" doc:"Longest time that a request waits for an endpoint that admits it."`
	FirstTokenTimeout time.Duration `json:"firstTokenTimeout" check:"positive" doc:"Longest time to wait for the first token of a stream."`
	TokenTimeout      time.Duration `json:"tokenTimeout" check:"positive" doc:"Longest gap between tokens before the stream is resumed on another endpoint."`
	CallTimeout       time.Duration `json:"callTimeout" check:"positive" doc:"Longest time that a call to a service endpoint may take."`
}

// DefaultEntry returns the entry settings with the default of each optional key.
func DefaultEntry() Entry {
	return Entry{
		Log:          defaultLog(),
		DrainTimeout: 30 * time.Second,
		AddressTTL:   10 * time.Second,
		Routing: Routing{
			SubsetSize:        16,
			MaxAttempts:       4,
			RetryPercent:      20,
			AdmissionTimeout:  2 * time.Second,
			FirstTokenTimeout: 10 * time.Second,
			TokenTimeout:      2 * time.Second,
			CallTimeout:       10 * time.Second,
		},
	}
}

// LoadEntry reads and validates an entry's settings file.
func LoadEntry(file string) (Entry, error) {
	loaded := DefaultEntry()
	err := load(file, &loaded, func(c *checker) {
		c.checkDistinct("callersAddress", loaded.CallersAddress, "controlAddress", loaded.ControlAddress, "adminAddress", loaded.AdminAddress)
	})
	return loaded, err
}
