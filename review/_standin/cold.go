package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coldTime is how long a worker stays cold, coldRate the requests a second that it bears
	// then. coldBound is the bound of the rule: coldRate x 1.5 + 5.
	coldTime  = 3 * time.Second
	coldRate  = 36
	coldBound = coldRate*1.5 + 5
	// evacuationTime is how long the zone gets nothing, coldLead how long before its return its
	// workers have become cold.
	evacuationTime = 8 * time.Second
	coldLead       = 800 * time.Millisecond
	// draftInterval is the time between two requests: 250 a second.
	draftInterval = 4 * time.Millisecond
	evacuatedZone = "kumamoto-a"
)

// coldCase evacuates a zone whose workers are cold when it returns.
type coldCase struct {
	rig       *rig
	engines   []*engine
	gateways  []*process
	coldUntil atomic.Int64

	mu       sync.Mutex
	arrivals []time.Time
	served   int
}

// entry returns the fields of the entry of the worker in the evacuated zone.
func (c *coldCase) entry(e *engine) map[string]any {
	fields := e.fields()
	fields["cold_remaining_ms"] = max(0, time.Until(time.UnixMilli(c.coldUntil.Load())).Milliseconds())
	return fields
}

// answer sends an answer of one event.
func (c *coldCase) answer(e *engine, conn net.Conn, request *http.Request) bool {
	if e.worker.zone == evacuatedZone {
		c.mu.Lock()
		c.arrivals = append(c.arrivals, time.Now())
		c.mu.Unlock()
	}
	return e.stream(conn, request, 1)
}

// evacuate takes the zone out of service and returns it. Its worker is cold by then. It returns
// the largest number of requests that the worker got in a second while it was cold.
func (c *coldCase) evacuate() int {
	r := c.rig
	r.note("the operator evacuates %s", evacuatedZone)
	r.write("evacuations", evacuatedZone, map[string]any{})
	time.Sleep(evacuationTime - coldLead)
	until := time.Now().Add(coldTime + coldLead)
	c.coldUntil.Store(until.UnixMilli())
	c.engines[1].worker.register("ready")
	r.note("%s is cold for %v, and its entry says so", c.engines[1].worker.id, coldTime+coldLead)
	time.Sleep(coldLead)
	returned := time.Now()
	r.store.Delete("evacuations", evacuatedZone)
	r.note("the operator takes %s back", evacuatedZone)
	time.Sleep(time.Until(until))
	most := c.mostInSecond(returned, until)
	r.say("%s got %d requests in a second while it was cold; %g may be", c.engines[1].worker.id, most, float64(coldBound))
	return most
}

// mostInSecond returns the largest number of arrivals in a second of a period.
func (c *coldCase) mostInSecond(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	inside := slices.DeleteFunc(slices.Clone(c.arrivals), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	most, first := 0, 0
	for last := range inside {
		for inside[last].Sub(inside[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// runCold evacuates a zone, and with trouble a second time.
func runCold(r *rig, trouble bool) (bool, error) {
	r.useZones()
	r.seeds = []string{r.address(11, controlPort), r.address(12, controlPort)}
	c := &coldCase{rig: r}
	w := weights{layers: 16, chunks: 96, chunkBytes: 24576}
	r.store.Configure(r.desiredState(3, w))
	r.store.RequestRollout(modelName, 1)
	var processes []*process
	for index, zone := range []string{"fukuoka-a", evacuatedZone, "kagoshima-a"} {
		host := 31 + index
		e := newEngine(r, w, 1)
		e.answer = func(conn net.Conn, request *http.Request, _ []byte) bool { return c.answer(e, conn, request) }
		e.worker = &worker{rig: r, id: fmt.Sprintf("i-draft%d", host), service: draftService, zone: zone, host: host, slots: 16, handle: e.handle, entry: e.fields}
		if zone == evacuatedZone {
			e.worker.entry = func() map[string]any { return c.entry(e) }
		}
		if err := e.worker.start(); err != nil {
			return false, err
		}
		c.engines = append(c.engines, e)
		processes = append(processes, r.loader(host, zone, draftService))
		c.gateways = append(c.gateways, r.gateway(11+index, zone))
	}
	if err := startAll(append(processes, c.gateways...)); err != nil {
		return false, err
	}
	if err := awaitReady(c.gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { c.send(stop) })
	time.Sleep(4 * time.Second)
	first := c.evacuate()
	time.Sleep(6 * time.Second)
	second := 0
	if trouble {
		second = c.evacuate()
	}
	close(stop)
	traffic.Wait()
	if c.served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	r.say("%d requests were served", c.served)
	return max(first, second) > coldBound, nil
}

// send sends short drafts to the gateways in turn until stop is closed.
func (c *coldCase) send(stop <-chan struct{}) {
	ticker := time.NewTicker(draftInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() {
			result := doOnce(c.gateways[number%len(c.gateways)].front(), draftCall(fmt.Sprintf("d%08x", number), []string{fmt.Sprintf("c0ffee%02x", number%8)}, 200, 5))
			if result.status != http.StatusOK || !result.complete {
				c.rig.note("request %d: %s", number, result.String())
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.served++
		})
	}
}
