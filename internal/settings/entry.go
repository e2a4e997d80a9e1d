package settings

import "time"

// Entry holds the settings of mimosaward-entry.
type Entry struct {
	Instance       Instance `json:"instance" check:"required" doc:"Identity of this instance."`
	Platform       Platform `json:"platform" check:"required" doc:"Addresses of the platform's services."`
	Log            Log      `json:"log" doc:"Log output."`
	CallersAddress string   `json:"callersAddress" check:"required,address" doc:"Address that callers connect to."`
	ControlAddress string   `json:"controlAddress" check:"required,address" doc:"Address for the system's own processes."`
	AdminAddress   string   `json:"adminAddress" check:"required,address" doc:"Address of metrics, health and readiness."`
	Routing        Routing  `json:"routing" doc:"How requests are given to endpoints."`
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration `json:"drainTimeout" check:"positive" doc:"Longest time that a graceful stop waits for requests in flight."`
	// AddressTTL is how long callers keep an answer about addresses.
	AddressTTL time.Duration `json:"addressKeep" check:"positive" doc:"How long callers may keep the list of entry addresses."`
}

// Routing holds how an entry gives requests to endpoints.
type Routing struct {
	SubsetSize        int           `json:"subsetSize" check:"positive" doc:"Number of endpoints of a pool that this entry uses."`
	MaxAttempts       int           `json:"attempts" check:"positive" doc:"Most endpoints that one request is offered to."`
	RetryPercent      int           `json:"retryPercent" check:"positive" doc:"Retries allowed for each hundred first attempts."`
	AdmissionTimeout  time.Duration `json:"admissionWait" check:"positive" doc:"Longest time that a request waits for an endpoint that takes it."`
	FirstTokenTimeout time.Duration `json:"firstTokenTimeout" check:"positive" doc:"Longest wait for the first token of a stream."`
	TokenTimeout      time.Duration `json:"tokenTimeout" check:"positive" doc:"Longest gap inside a stream before the stream is resumed elsewhere."`
	CallTimeout       time.Duration `json:"callTimeout" check:"positive" doc:"Longest time for a call of a plain service."`
}

// DefaultEntry returns the settings that a file may leave out.
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

// LoadEntry reads and checks an entry's settings file.
func LoadEntry(file string) (Entry, error) {
	loaded := DefaultEntry()
	err := load(file, &loaded, func(c *checker) {
		c.checkDistinct("callersAddress", loaded.CallersAddress, "controlAddress", loaded.ControlAddress, "adminAddress", loaded.AdminAddress)
	})
	return loaded, err
}
