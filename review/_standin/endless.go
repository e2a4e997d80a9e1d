package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the settings. The platform kills a process that exceeds it,
	// and starts it again after restartDelay. memoryInterval is how often it looks.
	memoryLimitMB  = 284
	memoryInterval = 10 * time.Millisecond
	restartDelay   = time.Second
	// linkBytes is what the link of a gateway carries in a second: 1,000 Mbit/s.
	linkBytes = 125_000_000
	blockSize = 64 << 10
	// faultyTime is how long some workers answer without end, soundTime the time until they do so
	// again, and spells how often they do.
	faultyTime = 4 * time.Second
	soundTime  = 4 * time.Second
	spells     = 6
	// maxLost is the number of requests that may be lost.
	maxLost = 3
)

// link paces the bytes that reach one gateway.
type link struct {
	mu   sync.Mutex
	free time.Time
}

func (l *link) wait(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / linkBytes)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// passed records when requests reached sound workers.
type passed struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (p *passed) add(request *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[request.Header.Get("X-Attempt-Id")] = time.Now()
}

func (p *passed) has(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.at[id].IsZero()
}

// lostRequest is a request from a kept connection that ended without an answer.
type lostRequest struct {
	id, gateway string
	at          time.Time
}

// endlessCase lets two of three workers of a plain service answer without end for a while.
type endlessCase struct {
	rig      *rig
	gateways []*process
	passed   passed
	links    map[string]*link
	faulty   atomic.Bool
	block    string
	endless  atomic.Int64
	blocks   atomic.Int64
	answers  atomic.Int64
	served   atomic.Int64

	mu    sync.Mutex
	lost  []lostRequest
	kills map[string][]time.Time
	peaks map[string]int
}

// book answers a booking.
func (c *endlessCase) book(w *worker, conn net.Conn, request *http.Request, _ []byte) bool {
	if !c.faulty.Load() || w.host == 23 {
		c.passed.add(request)
		time.Sleep(15 * time.Millisecond)
		return w.sendPlain(conn, request, strings.Repeat("y", 800))
	}
	gateway, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	c.mu.Lock()
	path := c.links[gateway]
	if path == nil {
		path = &link{}
		c.links[gateway] = path
	}
	c.mu.Unlock()
	c.endless.Add(1)
	_, err := io.WriteString(conn, w.answerHead(request, http.StatusOK, ""))
	for err == nil {
		path.wait(blockSize)
		_, err = io.WriteString(conn, c.block)
		c.blocks.Add(1)
	}
	return false
}

// watchMemory kills a gateway that exceeds its memory, and starts it again, as the platform does.
func (c *endlessCase) watchMemory(p *process) {
	for {
		time.Sleep(memoryInterval)
		used := p.anonymousKB() >> 10
		c.mu.Lock()
		c.peaks[p.name] = max(c.peaks[p.name], used)
		c.mu.Unlock()
		if used <= memoryLimitMB {
			continue
		}
		c.mu.Lock()
		c.kills[p.name] = append(c.kills[p.name], time.Now())
		c.mu.Unlock()
		c.rig.say("%s uses %d MiB of %d: the platform kills it", p.name, used, memoryLimitMB)
		p.kill()
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			c.rig.say("start %s: %v", p.name, err)
			return
		}
	}
}

// request sends requests on a kept connection, one after the other, until end.
func (c *endlessCase) request(gateway *process, name string, interval time.Duration, end time.Time, next func(id string) *call) {
	var conn *kept
	for count := 0; time.Now().Before(end); count++ {
		time.Sleep(interval)
		if conn == nil {
			opened, err := connect(gateway.front())
			if err != nil {
				continue
			}
			conn = opened
		}
		id := fmt.Sprintf("%s-%d", name, count)
		result := conn.do(next(id))
		c.rig.note("request %s at %s: %s", id, gateway.name, result.String())
		switch {
		case result.status == 0:
			if c.passed.has(id) {
				c.mu.Lock()
				c.lost = append(c.lost, lostRequest{id: id, gateway: gateway.name, at: result.endedAt})
				c.mu.Unlock()
			}
		case result.complete && result.status == http.StatusOK:
			c.served.Add(1)
		}
		if !result.complete || result.header.Get("Connection") == "close" {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// runEndless plays a plain service of which two workers in three answer without end for some
// seconds, beside a model service that is sound.
func runEndless(r *rig, trouble bool) (bool, error) {
	r.useZones()
	r.seeds = []string{r.address(11, controlPort), r.address(12, controlPort)}
	c := &endlessCase{rig: r, passed: passed{at: map[string]time.Time{}}, links: map[string]*link{}, block: strings.Repeat("x", blockSize), kills: map[string][]time.Time{}, peaks: map[string]int{}}
	w := weights{layers: 16, chunks: 96, chunkBytes: 24576}
	zones := []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"}
	var loaders []*process
	for index, zone := range zones {
		booking := &worker{rig: r, id: fmt.Sprintf("i-book%d", 21+index), service: plainService, zone: zone, host: 21 + index, slots: 6, handle: c.book}
		e := newEngine(r, w, 1)
		e.answer = func(conn net.Conn, request *http.Request, _ []byte) bool {
			c.passed.add(request)
			time.Sleep(150 * time.Millisecond)
			return e.stream(conn, request, 12)
		}
		if err := booking.start(); err != nil {
			return false, err
		}
		if _, err := r.startEngine(e, fmt.Sprintf("i-draft%d", 31+index), zone, 31+index); err != nil {
			return false, err
		}
		loaders = append(loaders, r.loader(31+index, zone, draftService))
	}
	state := r.desiredState(3, w)
	state.Routes[1].Timeout, state.Routes[2].Timeout = 1500, 1500
	r.store.Configure(state)
	r.store.RequestRollout(modelName, 1)
	c.gateways = []*process{r.gateway(11, zones[0]), r.gateway(12, zones[1])}
	for _, p := range c.gateways {
		p.oneCore = true
	}
	for _, p := range append(append([]*process{}, c.gateways...), loaders...) {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(c.gateways, 10*time.Second); err != nil {
		return false, err
	}
	for _, p := range c.gateways {
		background.Go(func(context.Context) { c.watchMemory(p) })
	}
	end := time.Now().Add(12*time.Second + spells*(faultyTime+soundTime))
	var requesters sync.WaitGroup
	for index := range 148 {
		gateway := c.gateways[index%2]
		requesters.Go(func() {
			time.Sleep(time.Duration(index) * 13 * time.Millisecond)
			if index < 100 {
				c.request(gateway, fmt.Sprintf("draft%d", index), 300*time.Millisecond, end, func(id string) *call { return draftCall(id, []string{"5c1e07a2"}, 1290, 60) })
				return
			}
			c.request(gateway, fmt.Sprintf("book%d", index), 900*time.Millisecond, end, func(id string) *call {
				return &call{method: "POST", path: "/book/x", host: callersHost, key: stableKey, id: id, deadline: 1500 * time.Millisecond, body: []byte(strings.Repeat("b", 600))}
			})
		})
	}
	time.Sleep(12 * time.Second)
	for trouble && time.Until(end) > soundTime {
		r.say("two of three workers of %s begin to answer without end", plainService)
		c.faulty.Store(true)
		time.Sleep(faultyTime)
		c.faulty.Store(false)
		r.say("they are sound again; %d answers without end, %d MB", c.endless.Load(), c.blocks.Load()*blockSize/1_000_000)
		time.Sleep(soundTime)
	}
	requesters.Wait()
	return c.judge()
}

func (c *endlessCase) judge() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.gateways {
		c.rig.say("%s: peak %d MiB, killed %d times", p.name, c.peaks[p.name], len(c.kills[p.name]))
	}
	counted := 0
	for _, lost := range c.lost {
		inTouch := true
		for _, killed := range c.kills[lost.gateway] {
			since := lost.at.Sub(killed)
			// From the start by the platform on, the machine is in touch only after contactTime.
			inTouch = inTouch && (since < restartDelay/2 || since > restartDelay+contactTime)
		}
		if inTouch {
			counted++
		}
		c.rig.note("lost: %s at %s, in touch %t", lost.id, lost.gateway, inTouch)
	}
	c.rig.say("%d requests served, %d requests from kept connections lost at sound workers by machines in touch; %d may be", c.served.Load(), counted, maxLost)
	if c.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return counted > maxLost, nil
}
