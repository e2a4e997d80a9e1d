package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/endpointload"
)

// speedReportsMaxAge is how long after the last report of a speed the endpoints of a service count
// as ones that report their speed. Before the first report, and when endpoints cease to report it,
// the choice does not depend on reports.
const speedReportsMaxAge = 10 * time.Second

// serviceLoad is what the reports of a service's endpoints say in common.
type serviceLoad struct {
	// speedAt is when an endpoint of the service last reported its speed.
	speedAt time.Time
	// calls is the mean duration of calls to a plain service.
	calls endpointload.CallDuration
}

// reportsSpeed reports whether endpoints of the service report their speed.
func (l *serviceLoad) reportsSpeed(now time.Time) bool {
	return l != nil && now.Sub(l.speedAt) <= speedReportsMaxAge
}

// RecordLoad records the load that an endpoint reports in a response to this gateway.
func (d *Dispatcher) RecordLoad(endpoint clusterstate.Endpoint, report endpointload.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if state := d.state(endpoint.ID); endpoint.Incarnation >= state.incarnation {
		d.recordReport(endpoint.Service, state, report, now, now, true)
	}
}

// recordReport records a report that an endpoint sent at a time. Reports without a speed are used
// only where others have one.
func (d *Dispatcher) recordReport(service string, state *endpointState, report endpointload.Report, at, now time.Time, received bool) {
	load := d.loads[service]
	if report.Percent == 0 && !load.reportsSpeed(now) {
		return
	}
	if load == nil {
		load = &serviceLoad{}
		if d.loads == nil {
			d.loads = map[string]*serviceLoad{}
		}
		d.loads[service] = load
	}
	if report.Percent > 0 && at.After(load.speedAt) {
		load.speedAt = at
	}
	known, _, _ := state.totalLoad(now, d.demandRatios)
	state.load.Record(report, at, known, received)
}

// addReport adds what the endpoint's reports say to the snapshot. slowness stays 0 if the endpoints
// of the service do not report their speed.
func (d *Dispatcher) addReport(snapshot *endpointSnapshot, config *configuration.Service, now time.Time) {
	if load := d.loads[config.Name]; load.reportsSpeed(now) {
		snapshot.slowness = snapshot.state.load.Slowness(now)
		snapshot.unknownRequests = snapshot.state.load.UnknownRequests(now)
		snapshot.calls = &load.calls
	}
}

// callFactor returns how much longer a call is predicted to take at a plain endpoint than at an
// idle one of the usual speed, 0 if the endpoints of the service do not report their speed.
func (s *endpointSnapshot) callFactor() float64 {
	if s.slowness == 0 {
		return 0
	}
	taken := max(float64(s.running)+s.unknownRequests, float64(s.state.running))
	return endpointload.CallFactor(taken, s.endpoint.Slots, s.slowness)
}

// predictCall returns the predicted duration of a call at a plain endpoint, 0 if the endpoints of
// the service do not report their speed.
func (s *endpointSnapshot) predictCall() time.Duration {
	if s.slowness == 0 {
		return 0
	}
	return s.calls.Predict(s.callFactor())
}

// slowed returns the predicted latency at an engine that reports to be slower than its loader
// says. Only the choice among engines depends on it: whether an engine takes a job does not,
// since a report holds for some hundred milliseconds and a rejected caller waits for longer.
func (s *endpointSnapshot) slowed(predicted time.Duration) time.Duration {
	if s.slowness <= s.pace {
		return predicted
	}
	return time.Duration(float64(predicted) * s.slowness / s.pace)
}

// addCandidate adds a candidate for chooseAmongClose if the endpoints of the service report their
// speed.
func (d *Dispatcher) addCandidate(next *candidate) {
	if next.slowness > 0 {
		d.candidates = append(d.candidates, *next)
	}
}

// chooseAmongClose returns the better one of two random candidates whose cost is close to that of
// the best one, so that gateways with the same reports do not send all requests to the same
// endpoint. Without reports it returns the best one.
func (d *Dispatcher) chooseAmongClose(config *configuration.Service, best candidate) candidate {
	ratio := float64(endpointload.CloseCalls)
	if config.Engine != nil {
		ratio = endpointload.CloseEngines
	}
	equal := d.candidates[:0]
	for index := range d.candidates {
		if next := &d.candidates[index]; next.degraded == best.degraded && endpointload.Close(next.cost, best.cost, ratio) {
			equal = append(equal, *next)
		}
	}
	d.candidates = d.candidates[:0]
	if len(equal) < 2 {
		return best
	}
	first, second := endpointload.PickTwo(len(equal), rand.IntN)
	if equal[second].betterThan(&equal[first]) {
		return equal[second]
	}
	return equal[first]
}

// recordCall records the duration of a call to a plain endpoint.
func (l *localGrant) recordCall(now time.Time) {
	if load := l.dispatcher.loads[l.job.Service]; load != nil && l.callFactor > 0 {
		load.calls.Record(now.Sub(l.grantedAt), l.callFactor)
		l.callFactor = 0
	}
}
