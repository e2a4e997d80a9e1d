package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// deadlyPart crashes each engine that begins to write an answer on it.
	deadlyPart = "dead0001"
	// backAfter is the time after which a crashed engine is back, without weights.
	backAfter = 3 * time.Second
	// prefillTime is the time until an engine begins to write.
	prefillTime = 150 * time.Millisecond
)

// arrival is a request with the deadly part that reached an engine.
type arrival struct {
	id, engine string
	at         time.Time
}

// poisonSite is a deployment of engines that crash under a prompt part.
type poisonSite struct {
	rig      *rig
	engines  []*engine
	gateways []*process
	loaders  []*process

	mu       sync.Mutex
	arrivals []arrival
	begun    map[string]time.Time
	sequence atomic.Int64
}

const otherKey = "wqpzoxkrmvbtneyuaslc"

func newPoisonSite(r *rig, enginesPerZone int) (*poisonSite, error) {
	r.useZones()
	r.seeds = []string{r.address(11, controlPort), r.address(12, controlPort), r.address(13, controlPort)}
	s := &poisonSite{rig: r, begun: map[string]time.Time{}}
	w := weights{layers: 16, chunks: 96, chunkBytes: 24576}
	source := &worker{rig: r, id: "i-origin", service: "office-app", zone: "fukuoka-a", host: originHost, slots: 8, handle: (&origin{weights: w}).handle}
	if err := source.start(); err != nil {
		return nil, err
	}
	state := r.desiredState(3, w)
	state.Workspaces = append(state.Workspaces, platformtest.Workspace{Name: "kiru411", APIKeys: []string{otherKey}})
	r.store.Configure(state)
	r.store.RequestRollout(modelName, 1)
	for index, zone := range []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"} {
		for number := range enginesPerZone {
			host := 31 + index*10 + number
			e := newEngine(r, w, 1)
			e.answer = func(conn net.Conn, request *http.Request, _ []byte) bool { return s.answer(e, conn, request) }
			if _, err := r.startEngine(e, fmt.Sprintf("i-draft%d", host), zone, host); err != nil {
				return nil, err
			}
			s.engines = append(s.engines, e)
			s.loaders = append(s.loaders, r.loader(host, zone, draftService))
		}
		s.gateways = append(s.gateways, r.gateway(11+index, zone))
	}
	for _, p := range append(append([]*process{}, s.gateways...), s.loaders...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return s, awaitReady(s.gateways, 10*time.Second)
}

// answer streams an answer, or crashes the engine as it begins to write on the deadly part.
func (s *poisonSite) answer(e *engine, conn net.Conn, request *http.Request) bool {
	e.mu.Lock()
	serves := e.version > 0 && !e.busy
	e.mu.Unlock()
	parts, id := promptParts(request), request.Header.Get("X-Attempt-Id")
	deadly := slices.Contains(parts[:len(parts)-1], deadlyPart)
	if deadly && serves {
		s.rig.note("%s received %s, which has the deadly part", e.worker.id, id)
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{id: id, engine: e.worker.id, at: time.Now()})
		s.mu.Unlock()
	}
	if serves {
		time.Sleep(prefillTime)
	}
	if deadly && serves {
		e.worker.crash(backAfter, e.forget)
		return false
	}
	if serves {
		s.mu.Lock()
		s.begun[id] = time.Now()
		s.mu.Unlock()
	}
	return e.stream(conn, request, 12)
}

// send sends a request to a gateway in turn, and returns its outcome.
func (s *poisonSite) send(kind, key string, parts []string) (id string, result outcome) {
	number := s.sequence.Add(1)
	id = fmt.Sprintf("%s-%d", kind, number)
	c := draftCall(id, parts, 787, 60)
	c.key = key
	gateway := s.gateways[int(number)%len(s.gateways)]
	result = doOnce(gateway.front(), c)
	s.rig.note("request %s at %s: %s", id, gateway.name, result.String())
	return id, result
}

// crashes returns the times of all crashes in order.
func (s *poisonSite) crashes() []time.Time {
	var all []time.Time
	for _, e := range s.engines {
		all = append(all, e.worker.crashTimes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// background sends sound requests of another tenant until stop is closed.
func (s *poisonSite) background(interval time.Duration, stop <-chan struct{}) {
	for index := 0; ; index++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			background.Go(func(context.Context) {
				s.send("other", otherKey, []string{fmt.Sprintf("c0ffee%02x", index%8), fmt.Sprintf("b0%06x", index%40)})
			})
		}
	}
}

const (
	// quietInterval is the time between the sound requests with a quiet first part.
	quietInterval = 2400 * time.Millisecond
	quietPart     = "5c1e07a2"
	// minSound is the number of sound requests on each side that the rule wants.
	minSound = 20
	// quietTime is the time over which sound requests are sent before the deadly ones.
	quietTime = 51 * time.Second
	// runTime is the length of the whole run.
	runTime = 112 * time.Second
)

// runFirstPart sends requests with a deadly part that share their key and first part with sound
// requests, which come every few seconds.
func runFirstPart(r *rig, trouble bool) (bool, error) {
	s, err := newPoisonSite(r, 2)
	if err != nil {
		return false, err
	}
	start := time.Now()
	stop := make(chan struct{})
	background.Go(func(context.Context) { s.background(150*time.Millisecond, stop) })
	var mu sync.Mutex
	var sound []lostRequest
	var group sync.WaitGroup
	onset := time.Time{}
	for index := 0; time.Since(start) < runTime; index++ {
		sentAt := time.Now()
		group.Go(func() {
			id, _ := s.send("sound", stableKey, []string{quietPart, fmt.Sprintf("aa%06x", index%5)})
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, lostRequest{id: id, at: sentAt})
		})
		if trouble && sentAt.Sub(start) >= quietTime && (onset.IsZero() || index%2 == 0) {
			first := onset.IsZero()
			if first {
				onset = sentAt
			}
			group.Go(func() { s.sendDeadly(first, index) })
		}
		time.Sleep(time.Until(sentAt.Add(quietInterval)))
	}
	group.Wait()
	close(stop)
	return s.judgeSound(sound, start.Add(quietTime), trouble)
}

// sendDeadly sends requests with the deadly part: some from several requesters at first, a
// single one later.
func (s *poisonSite) sendDeadly(first bool, index int) {
	time.Sleep(700 * time.Millisecond)
	count := 1
	if first {
		count = 3
	}
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() {
			s.send("deadly", stableKey, []string{quietPart, deadlyPart, fmt.Sprintf("dd%04x%02x", index, number)})
		})
		time.Sleep(150 * time.Millisecond)
	}
	group.Wait()
}

// judgeSound compares how often sound requests with the key and the first part of the deadly
// ones began before and after.
func (s *poisonSite) judgeSound(sound []lostRequest, until time.Time, trouble bool) (bool, error) {
	crashes := s.crashes()
	from := until
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * contactTime)
	} else if trouble {
		return false, fmt.Errorf("no engine crashed")
	}
	var sent, begun [2]int
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range sound {
		side := -1
		switch {
		case request.at.Before(until):
			side = 0
		case !request.at.Before(from):
			side = 1
		}
		if side >= 0 {
			sent[side]++
			if !s.begun[request.id].IsZero() {
				begun[side]++
			}
		}
	}
	s.rig.say("%d engines crashed; sound requests with the same key and first part: %d of %d began before, %d of %d later than %v after the crashes",
		len(crashes), begun[0], sent[0], begun[1], sent[1], 2*contactTime)
	if sent[0] < minSound || sent[1] < minSound {
		return false, fmt.Errorf("too few sound requests were sent")
	}
	return float64(begun[1])/float64(sent[1]) < float64(begun[0])/float64(sent[0])/2, nil
}

const (
	// togetherCount is the number of requests with the deadly part that come at the same moment,
	// togetherInterval the time to the next ones, and togetherRounds how often they come.
	togetherCount    = 5
	togetherInterval = 8 * time.Second
	togetherRounds   = 3
)

// runTogether sends some requests with the deadly part at the same moment, and again after some
// seconds. Without trouble, the requests come without the part.
func runTogether(r *rig, trouble bool) (bool, error) {
	s, err := newPoisonSite(r, 2)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	background.Go(func(context.Context) { s.background(150*time.Millisecond, stop) })
	time.Sleep(5 * time.Second)
	part := "50und001"
	if trouble {
		part = deadlyPart
	}
	var group sync.WaitGroup
	for round := range togetherRounds {
		r.note("%d requesters send a request each", togetherCount)
		for number := range togetherCount {
			group.Go(func() {
				s.send("together", stableKey, []string{fmt.Sprintf("c0ffee%02x", number), part, fmt.Sprintf("dd%02x%04x", round, number)})
			})
		}
		time.Sleep(togetherInterval)
	}
	group.Wait()
	return s.judgeArrivals(trouble)
}

// judgeArrivals counts the requests with the deadly part that reached engines later than the
// contact time after the fifth crash.
func (s *poisonSite) judgeArrivals(trouble bool) (bool, error) {
	crashes := s.crashes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(crashes) < 5 {
		s.rig.say("%d engines crashed, %d requests with the part reached engines", len(crashes), len(s.arrivals))
		if trouble {
			return false, fmt.Errorf("fewer than five engines crashed")
		}
		return false, nil
	}
	late := 0
	for _, one := range s.arrivals {
		if one.at.After(crashes[4].Add(contactTime)) {
			late++
		}
	}
	s.rig.say("%d engines crashed; %d requests with the part reached engines, %d of them later than %v after the fifth crash and sent by machines in touch; 3 may", len(crashes), len(s.arrivals), late, contactTime)
	return late > 3, nil
}
