package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recoveryTime is recovery_s of the small sites, downTime the time without power, and
	// originLinkBytes what the link of the origin carries in a second: 7.3 Mbit/s.
	recoveryTime    = 12 * time.Second
	downTime        = 1300 * time.Millisecond
	originLinkBytes = 912_500
	// measuredTime is how long requests are sent after the recovery.
	measuredTime = 40 * time.Second
)

// spoiler spoils one manifest that the origin sends.
type spoiler struct {
	rig *rig

	mu    sync.Mutex
	armed bool
	sent  int
	spent int
	free  time.Time
}

func (s *spoiler) arm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = true
}

// pass paces an answer of the origin by its link, and spoils it if it is the first manifest after
// arm: one digit of one digest changes.
func (s *spoiler) pass(path string, body []byte) {
	s.mu.Lock()
	s.sent++
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(len(body)) * time.Second / originLinkBytes)
	until := s.free
	if strings.HasPrefix(path, "/-/manifest/") {
		s.rig.note("the origin sends a manifest, %d bytes, spoilt: %t", len(body), s.armed)
		if s.armed {
			s.armed = false
			s.spent++
			at := strings.Index(string(body), `"digests":["`) + len(`"digests":["`) + 10
			body[at] = changedDigit(body[at])
		}
	}
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

// changedDigit returns another hexadecimal digit.
func changedDigit(digit byte) byte {
	if digit == '7' {
		return '3'
	}
	return '7'
}

// sample is a request and whether it was served.
type sample struct {
	at     time.Time
	served bool
}

// runRecover cuts the power of all machines, and lets the origin spoil one answer while the
// weights are fetched again.
func runRecover(r *rig, trouble bool) (bool, error) {
	r.useZones()
	r.seeds = []string{r.address(11, controlPort), r.address(12, controlPort)}
	w := weights{layers: 16, chunks: 96, chunkBytes: 24576}
	spoil := &spoiler{rig: r}
	source := &worker{rig: r, id: "i-origin", service: "office-app", zone: "fukuoka-a", host: originHost, slots: 8, handle: (&origin{weights: w, spoil: spoil.pass}).handle}
	if err := source.start(); err != nil {
		return false, err
	}
	r.store.Configure(r.desiredState(3, w))
	r.store.RequestRollout(modelName, 1)
	var engines []*engine
	var workers []*worker
	var gateways, processes []*process
	for index, zone := range []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		booking := r.plainWorker(index, zone)
		if err := booking.start(); err != nil {
			return false, err
		}
		workers = append(workers, booking)
		for number := range 2 {
			host := 31 + index*10 + number
			e := newEngine(r, w, 1)
			started, err := r.startEngine(e, fmt.Sprintf("i-draft%d", host), zone, host)
			if err != nil {
				return false, err
			}
			engines, workers = append(engines, e), append(workers, started)
			processes = append(processes, r.loader(host, zone, draftService))
		}
		gateways = append(gateways, r.gateway(11+index, zone))
	}
	processes = append(processes, gateways...)
	if err := startAll(processes); err != nil {
		return false, err
	}
	if err := awaitReady(gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var samples []sample
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		r.mixedTraffic(gateways, stop, func(one sample) {
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, one)
		})
	})
	time.Sleep(12 * time.Second)
	r.say("all machines lose power")
	offAt := time.Now()
	if trouble {
		spoil.arm()
	}
	for _, one := range workers {
		one.crash(downTime, nil)
	}
	for _, e := range engines {
		e.losePower()
	}
	for _, p := range processes {
		p.kill()
	}
	time.Sleep(time.Until(offAt.Add(downTime)))
	if err := startAll(processes); err != nil {
		return false, err
	}
	backAt := time.Now()
	r.say("all machines are back")
	time.Sleep(recoveryTime + measuredTime)
	close(stop)
	traffic.Wait()
	for _, e := range engines {
		e.mu.Lock()
		r.say("%s serves version %d", e.worker.id, e.version)
		e.mu.Unlock()
	}
	before, after := servedShare(samples, time.Time{}, offAt), servedShare(samples, backAt.Add(recoveryTime), time.Now())
	r.say("the origin sent %d answers, %d of them spoilt", spoil.sent, spoil.spent)
	r.say("served before the final fault: %.1f in 100; of the requests sent later than %v after the machines were back: %.1f in 100", 100*before, recoveryTime, 100*after)
	if before < 0.25 {
		return false, fmt.Errorf("too few requests were served before the final fault")
	}
	return after < 0.25, nil
}

// plainWorker returns a worker of the plain service.
func (r *rig) plainWorker(index int, zone string) *worker {
	return &worker{rig: r, id: fmt.Sprintf("i-book%d", 21+index), service: plainService, zone: zone, host: 21 + index, slots: 6, handle: sendBooking}
}

func startAll(processes []*process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// mixedTraffic sends drafts and bookings in the proportion of the small sites, until stop is
// closed and all are answered.
func (r *rig) mixedTraffic(gateways []*process, stop <-chan struct{}, record func(sample)) {
	var group sync.WaitGroup
	defer group.Wait()
	var count atomic.Int64
	for {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		group.Go(func() {
			number := int(count.Add(1))
			gateway := gateways[number%len(gateways)]
			c := draftCall(fmt.Sprintf("d%08x", number), []string{fmt.Sprintf("c0ffee%02x", number%8)}, 787, 60)
			if number%9 == 0 {
				c = &call{method: http.MethodGet, path: "/status/x", host: callersHost, key: stableKey, id: fmt.Sprintf("v%08x", number), deadline: time.Second}
			}
			result := doOnce(gateway.front(), c)
			r.note("request %s at %s: %s", c.id, gateway.name, result.String())
			record(sample{at: result.sentAt, served: result.status == http.StatusOK && result.complete})
		})
	}
}

// servedShare returns the share of the requests sent in a period that were served.
func servedShare(samples []sample, from, to time.Time) float64 {
	sent, served := 0, 0
	for _, one := range samples {
		if one.at.Before(from) || !one.at.Before(to) {
			continue
		}
		sent++
		if one.served {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}
