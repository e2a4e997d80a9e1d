package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the machine of a loader stands still.
	freezeTime = 4 * time.Second
	// spoiltPieces is the number of pieces that turn bad: 0.06 of 96.
	spoiltPieces = 5
	// versions is the number of versions that the operator names, versionInterval apart.
	versions        = 9
	versionInterval = 13 * time.Second
	// freezesPerVersion is how often the loader's machine may stand still during a rollout.
	freezesPerVersion = 2
	// maxDelay is the longest delay in microseconds from the last piece to the freeze.
	maxDelay = 250
)

// runWhole freezes the machine of one loader once or twice during each rollout, as the loader has
// read back what it staged. Some pieces turn bad at that moment.
func runWhole(r *rig, trouble bool) (bool, error) {
	r.useZones()
	r.seeds = []string{r.address(11, controlPort), r.address(12, controlPort)}
	w := weights{layers: 16, chunks: 96, chunkBytes: 24576}
	source := &worker{rig: r, id: "i-origin", service: "office-app", zone: "fukuoka-a", host: originHost, slots: 8, handle: (&origin{weights: w}).handle}
	if err := source.start(); err != nil {
		return false, err
	}
	r.store.Configure(r.desiredState(3, w))
	r.store.RequestRollout(modelName, 1)
	zones := []string{"fukuoka-a", "kumamoto-a", "kagoshima-a"}
	var engines []*engine
	var loaders, gateways []*process
	for index, zone := range zones {
		host := 31 + index
		e := newEngine(r, w, 1)
		if _, err := r.startEngine(e, fmt.Sprintf("i-draft%d", host), zone, host); err != nil {
			return false, err
		}
		engines = append(engines, e)
		loaders = append(loaders, r.loader(host, zone, draftService))
	}
	for index, zone := range zones {
		gateways = append(gateways, r.gateway(11+index, zone))
	}
	if err := startAll(append(append([]*process{}, gateways...), loaders...)); err != nil {
		return false, err
	}
	if err := awaitReady(gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var traffic sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 38))
	for version := int64(2); version <= versions; version++ {
		if trouble {
			chosen := random.IntN(len(engines))
			freezeAfterReadingBack(r, engines[chosen], loaders[chosen], version, time.Duration(random.IntN(maxDelay))*time.Microsecond, random.Perm(w.chunks)[:spoiltPieces])
		}
		r.note("the operator names version %d", version)
		r.store.RequestRollout(modelName, version)
		next := time.Now().Add(versionInterval)
		for index := 0; time.Now().Before(next); index++ {
			traffic.Go(func() {
				id := fmt.Sprintf("a%02x%06x", version, index)
				result := doOnce(gateways[index%len(gateways)].front(), draftCall(id, []string{"5c1e07a2"}, 500, 25))
				r.note("request %s: %s", id, result.String())
			})
			time.Sleep(60 * time.Millisecond)
		}
	}
	traffic.Wait()
	broken := false
	served := 0
	for _, e := range engines {
		e.mu.Lock()
		r.say("%s: version %d, %d tokens made, %d of them with layers that were taken with a spoilt piece", e.worker.id, e.version, e.tokens, e.badTokens)
		broken = broken || e.badTokens > 0
		served += e.tokens
		e.mu.Unlock()
	}
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// freezeAfterReadingBack stands the loader's machine still a delay after it was sent the last piece
// of the complete version. Pieces turn bad as it stands. If the loader stages the pieces again after
// that, the machine stands still once more.
func freezeAfterReadingBack(r *rig, e *engine, loader *process, version int64, delay time.Duration, bad []int) {
	freezes := 0
	e.expect(version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onSent = func(index int) {
		if index < e.weights.chunks-1 {
			return
		}
		e.mu.Lock()
		hit := e.stagedNext() && freezes < freezesPerVersion
		if hit {
			freezes++
		}
		e.mu.Unlock()
		if !hit {
			return
		}
		for sentAt := time.Now(); time.Since(sentAt) < delay; {
			// A sleep would take longer than the delay.
		}
		loader.signal(syscall.SIGSTOP)
		r.note("%s stands still, and pieces %v at %s turn bad", loader.name, bad, e.worker.id)
		for _, piece := range bad {
			e.spoil(piece)
		}
		time.AfterFunc(freezeTime, func() {
			loader.signal(syscall.SIGCONT)
			r.note("%s goes on", loader.name)
		})
	}
}
