// Package endpointload keeps the load and the speed that endpoints report in their responses,
// and derives from them how long a call takes. It does no I/O.
package endpointload

const (
	// UsualPercent is the speed of an endpoint whose work takes as long as usual.
	UsualPercent = 100
	// MaxPercent is the largest speed that is accepted. A larger one is a fault of the endpoint.
	MaxPercent = 100_000
)

// Report is the load that an endpoint reports: its numbers of running and waiting requests and
// of slots, and its speed.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Percent is the time that work takes, in percent of the usual time; 0 if the endpoint does
	// not report it.
	Percent int
}
