package integration

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// limitWindow is the time over which the requests to a limited endpoint are counted, and
	// limitSettleTime the time after it first named its limit from which they count.
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
)

// limitChange is a limit that an endpoint names from a time on; 0 means none.
type limitChange struct {
	from time.Time
	rate float64
}

// announcedLimits records the limits that the endpoints of an installation name.
type announcedLimits struct {
	installation *installation
	changes      map[string][]limitChange
}

// set makes the endpoints of a service name a limit, at most count of them.
func (l *announcedLimits) set(service string, count int, rate float64) {
	var names []string
	for name, endpoint := range l.installation.endpoints {
		if endpoint.Service == service {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(count, len(names))] {
		text := ""
		if rate > 0 {
			text = strconv.FormatFloat(rate, 'f', -1, 64)
		}
		l.installation.endpoints[name].Announce(platformtest.Announcement{RequestRate: text})
		l.changes[name] = append(l.changes[name], limitChange{from: time.Now(), rate: rate})
	}
}

// allowed returns the requests that the limits allow within a window, and whether a limit is
// in force in all of it.
func allowed(changes []limitChange, from, to time.Time) (requests float64, limited bool) {
	if from.Before(changes[0].from.Add(limitSettleTime)) {
		return 0, false
	}
	for index, change := range changes {
		end := to
		if index+1 < len(changes) && changes[index+1].from.Before(to) {
			end = changes[index+1].from
		}
		start := from
		if change.from.After(from) {
			start = change.from
		}
		if !end.After(start) {
			continue
		}
		if change.rate == 0 {
			return 0, false
		}
		requests += change.rate * end.Sub(start).Seconds()
	}
	return requests, true
}

// check fails the test for each endpoint that received more requests than it allowed, and
// returns the requests that the limited endpoints received while their limits were in force,
// relative to the limits.
func (l *announcedLimits) check() float64 {
	l.installation.t.Helper()
	used, total := 0.0, 0.0
	for name, changes := range l.changes {
		arrivals := l.installation.endpoints[name].ArrivalLog()
		slices.SortFunc(arrivals, func(a, b platformtest.Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
		worst, bound := 0, 0.0
		for first := range arrivals {
			from := arrivals[first].At
			requests, limited := allowed(changes, from, from.Add(limitWindow))
			if !limited {
				continue
			}
			last := first
			for last < len(arrivals) && arrivals[last].At.Sub(from) < limitWindow {
				last++
			}
			if limit := 1.5*requests + 5; float64(last-first)-limit > float64(worst)-bound || worst == 0 {
				worst, bound = last-first, limit
			}
		}
		if float64(worst) > bound {
			l.installation.t.Errorf("%s received %d requests in %v, at most %.1f are allowed", name, worst, limitWindow, bound)
		}
		for second := changes[0].from.Add(limitSettleTime); second.Before(time.Now()); second = second.Add(time.Second) {
			requests, limited := allowed(changes, second, second.Add(time.Second))
			if !limited {
				continue
			}
			total += requests
			for _, arrival := range arrivals {
				if !arrival.At.Before(second) && arrival.At.Before(second.Add(time.Second)) {
					used++
				}
			}
		}
	}
	return used / max(1, total)
}

// callerLoad sends requests to gateways at a steady rate.
type callerLoad struct {
	installation *installation
	group        *concurrency.Group
	mu           sync.Mutex
	served       []time.Time
	ends         time.Time
}

// stop ends the load.
func (l *callerLoad) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = time.Now()
}

func (l *callerLoad) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !time.Now().Before(l.ends)
}

// startLoad sends a request to each of the gateways at the interval, for a duration.
func (i *installation) startLoad(gateways []string, path string, interval, duration time.Duration) *callerLoad {
	load := &callerLoad{installation: i, group: concurrency.NewGroup(context.Background()), ends: time.Now().Add(duration)}
	request := i.call(0, path)
	if path == draftPath {
		request = i.chatCall(0)
		request.PromptTokens, request.OutputTokens = 200, 20
	}
	for index, gateway := range gateways {
		load.group.Go(func(context.Context) {
			time.Sleep(interval * time.Duration(index) / time.Duration(len(gateways)))
			for number := 0; !load.ended(); number++ {
				request := request
				request.AttemptID, request.Gateway = gateway+"-"+path+strconv.Itoa(number), gateway
				load.group.Go(func(context.Context) { load.send(request) })
				time.Sleep(interval)
			}
		})
	}
	return load
}

const (
	draftPath  = "/draft/new"
	statusPath = "/status/1"
)

// send sends a request. Gateways that are being restarted do not respond.
func (l *callerLoad) send(request platformtest.Request) {
	response, err := platformtest.Do(l.installation.network.ForProcess("caller").Dial, request)
	if err == nil && response.Status == 200 && response.Complete {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.served = append(l.served, time.Now())
	}
}

// servedSince returns the requests a second that were served from a time to the end.
func (l *callerLoad) servedSince(from time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.served {
		if at.After(from) {
			count++
		}
	}
	return float64(count) / l.ends.Sub(from).Seconds()
}

// minLimitUse is the share of their limits that endpoints must receive while there is demand.
const minLimitUse = 0.6

func (i *installation) gatewayAddresses(counts [zoneCount]int) []string {
	var addresses []string
	for zone, count := range counts {
		for index := range count {
			addresses = append(addresses, hostOfGateway(zone, index)+":8005")
		}
	}
	return addresses
}

var oneGatewayPerZone = [zoneCount]int{1, 1, 1}

// Guards against endpoints that receive more requests from all gateways together than they
// named as their limit, also when the limit changes or a gateway restarts, and against gateways
// that use less of it than they may.
func TestRequestLimitHoldsForAllGateways(t *testing.T) {
	const all = 100
	cases := map[string]struct {
		path     string
		interval time.Duration
		run      func(i *installation, limits *announcedLimits)
		// idle is true if a limit is too low for its use to be measured.
		idle bool
	}{
		"plain service": {path: statusPath, interval: 50 * time.Millisecond, run: func(_ *installation, limits *announcedLimits) {
			limits.set("booking", all, 4)
			time.Sleep(15 * time.Second)
		}},
		"one endpoint of a plain service": {path: statusPath, interval: 50 * time.Millisecond, run: func(_ *installation, limits *announcedLimits) {
			limits.set("booking", 1, 4)
			time.Sleep(15 * time.Second)
		}},
		"less than one a second": {path: statusPath, interval: 50 * time.Millisecond, idle: true, run: func(_ *installation, limits *announcedLimits) {
			limits.set("booking", all, 0.3)
			time.Sleep(25 * time.Second)
		}},
		"engines": {path: draftPath, interval: 100 * time.Millisecond, run: func(_ *installation, limits *announcedLimits) {
			limits.set("drafts", 4, 1.5)
			time.Sleep(15 * time.Second)
		}},
		"all engines": {path: draftPath, interval: 100 * time.Millisecond, run: func(_ *installation, limits *announcedLimits) {
			limits.set("drafts", all, 2)
			time.Sleep(15 * time.Second)
		}},
		"lowered and raised": {path: statusPath, interval: 50 * time.Millisecond, run: func(_ *installation, limits *announcedLimits) {
			limits.set("booking", all, 8)
			time.Sleep(10 * time.Second)
			limits.set("booking", all, 2)
			time.Sleep(10 * time.Second)
			limits.set("booking", all, 5)
			time.Sleep(10 * time.Second)
		}},
		"gateways restart": {path: draftPath, interval: 100 * time.Millisecond, idle: true, run: func(i *installation, limits *announcedLimits) {
			limits.set("drafts", all, 2)
			time.Sleep(4 * time.Second)
			for zone := range zoneCount {
				i.stopProcess(gatewayName(zone))
				i.startGateway(zone)
				time.Sleep(4 * time.Second)
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				limits := &announcedLimits{installation: i, changes: map[string][]limitChange{}}
				load := i.startLoad(i.gatewayAddresses(oneGatewayPerZone), c.path, c.interval, time.Minute)
				time.Sleep(time.Second)
				c.run(i, limits)
				load.stop()
				load.group.Wait()
				if used := limits.check(); used < minLimitUse && !c.idle {
					t.Errorf("limited endpoints received %.2f of what they allow, want at least %.2f", used, minLimitUse)
				}
			})
		})
	}
}

// Guards against an endpoint that stays limited for gateways that have not noticed the end of
// its limit.
func TestEndOfRequestLimitIsNoticed(t *testing.T) {
	withInstallation(t, func(i *installation) {
		limits := &announcedLimits{installation: i, changes: map[string][]limitChange{}}
		load := i.startLoad(i.gatewayAddresses(oneGatewayPerZone), statusPath, 50*time.Millisecond, 16*time.Second)
		time.Sleep(time.Second)
		limits.set("booking", 3, 2)
		time.Sleep(8 * time.Second)
		limits.set("booking", 3, 0)
		time.Sleep(3 * time.Second)
		settled := time.Now()
		load.group.Wait()
		if served, sent := load.servedSince(settled), 60.0; served < 0.95*sent {
			t.Errorf("%.1f requests a second are served after the limits ended, want %.0f", served, sent)
		}
	})
}

// limitedFleet is a fleet of gateways in cells whose callers use a service with limits.
type limitedFleet struct {
	service, path string
	rate          float64
	gateways      [zoneCount]int
}

// Guards against a limit that each cell keeps by itself.
func TestRequestLimitHoldsForAllCells(t *testing.T) {
	cases := map[string]limitedFleet{
		"plain service": {"booking", statusPath, 4, gatewaysOfCells},
		"engines":       {"drafts", draftPath, 2, gatewaysOfCells},
		"low limit":     {"booking", statusPath, 0.3, gatewaysOfCells},
	}
	maps.Copy(cases, plannedFleets())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, c.gateways, func(i *installation) {
				limits := &announcedLimits{installation: i, changes: map[string][]limitChange{}}
				load := i.startLoad(i.gatewayAddresses(c.gateways), c.path, 500*time.Millisecond, 16*time.Second)
				time.Sleep(time.Second)
				limits.set(c.service, 100, c.rate)
				time.Sleep(15 * time.Second)
				load.group.Wait()
				if used := limits.check(); used < minLimitUse && c.rate > 1 {
					t.Errorf("limited endpoints received %.2f of what they allow, want at least %.2f", used, minLimitUse)
				}
			})
		})
	}
}
