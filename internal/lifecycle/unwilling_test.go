package lifecycle

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// limitInterval is a time in which an endpoint named a limit of requests a second.
type limitInterval struct {
	endpoint *platformtest.Endpoint
	rate     float64
	// from is when it first named a limit, since when it named this one, and until when.
	from, since, until time.Time
}

const (
	// limitSettleTime is the time after the first naming from which requests count, and
	// limitWindow the time over which they are counted.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
)

// judge returns a finding if the endpoint received more requests than it allowed.
func (l *limitInterval) judge() []string {
	arrivals := l.endpoint.ArrivalLog()
	begin := l.since
	if settled := l.from.Add(limitSettleTime); begin.Before(settled) {
		begin = settled
	}
	for first := range arrivals {
		from := arrivals[first].At
		if from.Before(begin) || from.Add(limitWindow).After(l.until) {
			continue
		}
		count := 0
		for _, arrival := range arrivals[first:] {
			if arrival.At.Sub(from) < limitWindow {
				count++
			}
		}
		if allowed := 1.5*l.rate*limitWindow.Seconds() + 5; float64(count) > allowed {
			return []string{fmt.Sprintf("%s received %d requests in %s from %s, with a limit of %g a second since %s", l.endpoint.ID, count, limitWindow, from.Format("15:04:05.000"), l.rate, l.since.Format("15:04:05.000"))}
		}
	}
	return nil
}

// limitRequests makes an endpoint name a limit, which changes once and ends.
func (s *scenario) limitRequests(random *rand.Rand) {
	endpoint := s.site.endpoints[random.IntN(len(s.site.endpoints))]
	if !s.claim(endpoint) {
		return
	}
	defer s.release(endpoint)
	start := time.Now()
	for range 2 {
		rate := []float64{0.3, 0.8, 2, 5, 12}[random.IntN(5)]
		since := time.Now()
		s.record("%s limits its requests to %g a second", endpoint.ID, rate)
		endpoint.Announce(platformtest.Announcement{RequestRate: strconv.FormatFloat(rate, 'f', -1, 64)})
		time.Sleep(between(random, 6*time.Second, 12*time.Second))
		s.ledger.addLimit(limitInterval{endpoint: endpoint, rate: rate, from: start, since: since, until: time.Now()})
	}
	s.record("%s limits its requests no more", endpoint.ID)
	endpoint.Announce(platformtest.Announcement{})
}

// turnAway makes an endpoint refuse requests and name a time for which it wants none.
func (s *scenario) turnAway(random *rand.Rand) {
	endpoint := s.site.endpoints[random.IntN(len(s.site.endpoints))]
	if !s.claim(endpoint) {
		return
	}
	defer s.release(endpoint)
	s.record("%s turns requests away", endpoint.ID)
	endpoint.SetFaults(platformtest.EndpointFaults{Overloaded: true, RetryAfter: strconv.FormatFloat(between(random, 200*time.Millisecond, 3*time.Second).Seconds(), 'f', 2, 64)})
	time.Sleep(between(random, 100*time.Millisecond, 2*time.Second))
	endpoint.SetFaults(platformtest.EndpointFaults{})
}

// claim reserves an endpoint for one event.
func (s *scenario) claim(endpoint *platformtest.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed == nil {
		s.claimed = map[string]bool{}
	}
	if s.claimed[endpoint.ID] {
		return false
	}
	s.claimed[endpoint.ID] = true
	return true
}

func (s *scenario) release(endpoint *platformtest.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claimed, endpoint.ID)
}

// restoreStore returns the store from an older copy, after an outage. Operators and endpoints
// write again what it lost.
func (s *scenario) restoreStore(random *rand.Rand) {
	if !s.restoring.TryLock() {
		return
	}
	defer s.restoring.Unlock()
	backup := s.site.store.Backup()
	time.Sleep(between(random, 500*time.Millisecond, 6*time.Second))
	s.record("the store is down")
	s.site.store.SetFaults(platformtest.StoreFaults{Down: true})
	s.site.store.CloseWatches(false)
	time.Sleep(between(random, 100*time.Millisecond, 2*time.Second))
	s.record("the store returns from an older copy")
	s.site.store.Restore(backup)
	s.site.store.SetFaults(platformtest.StoreFaults{})
	time.Sleep(between(random, time.Millisecond, 1200*time.Millisecond))
	s.site.mu.Lock()
	s.site.store.Configure(s.site.state)
	s.site.mu.Unlock()
	s.mu.Lock()
	if s.version > 0 {
		s.site.store.RequestRollout(modelName, 1+s.version)
	}
	s.mu.Unlock()
	for _, endpoint := range s.site.endpoints {
		endpoint.Heartbeat()
	}
}

// configurationBound is the time after which gateways must use a configuration.
const configurationBound = 2 * time.Second

// checkConfiguration records a finding for each gateway that does not use the last
// configuration in time.
func (s *scenario) checkConfiguration() {
	time.Sleep(configurationBound)
	s.site.mu.Lock()
	routes := s.site.state.Routes
	s.site.mu.Unlock()
	exists := routes[len(routes)-1].Name == "trial"
	for index, d := range s.site.gateways {
		request := platformtest.Request{
			Gateway: s.site.address(d.host, callersPort), AttemptID: fmt.Sprint("check-", index), Method: "POST", Host: callersHost, Path: "/trial/check", APIKey: stableKey, Timeout: 3 * time.Second,
		}
		response, err := platformtest.Do(func(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, dialTimeout) }, request)
		wrong := http.StatusOK
		if exists {
			wrong = http.StatusNotFound
		}
		if err == nil && response.Status == wrong {
			s.ledger.addFinding("gateway %d responded with status %d on the route that comes and goes, which exists=%t", index, response.Status, exists)
		}
	}
}
