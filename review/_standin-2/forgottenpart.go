package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// fewEngines is the number of engines of the case.
	fewEngines = 6
	// badPart is the prompt part that ends engines, which are back after restartDelay.
	badPart      = "bad0"
	restartDelay = 2 * time.Second
	// crashesToKnow is the number of crashes after which the part must be known, contactTime the
	// time until then and that after which a machine that started is in touch.
	crashesToKnow = 5
	contactTime   = 3 * time.Second
	// allowedRequests is the number of requests with the part that may reach engines then.
	allowedRequests = 3
	// earlyInterval is the time between requests with the part until enough engines have ended,
	// refusedInterval that until the gateways are killed, and lateInterval that afterwards.
	earlyInterval   = 150 * time.Millisecond
	refusedInterval = 500 * time.Millisecond
	lateInterval    = 6 * time.Second
	// judgedMargin is how long the gateways have been in touch at least when the part comes again.
	judgedMargin = 200 * time.Millisecond
	// awayTime is how long the gateways are away after they were killed.
	awayTime = 2 * time.Second
)

// startCrashingEngine serves an engine that ends under requests with badPart, and its loader.
func (d *deployment) startCrashingEngine(host int, origin *platformtest.Origin) (*platformtest.Endpoint, error) {
	endpoint := &platformtest.Endpoint{
		ID: fmt.Sprintf("i-%d", host), Incarnation: time.Now().UnixMilli(), Service: serviceName, Address: d.address(host, enginePort), Zone: zoneName,
		Slots: engineConfig.Slots, RestartDelay: restartDelay, Engine: platformtest.NewEngine(modelName, engineConfig, origin, 1), Store: d.store,
	}
	endpoint.SetFaults(platformtest.EndpointFaults{CrashOnPart: badPart})
	first, err := net.Listen("tcp4", endpoint.Address)
	if err != nil {
		return nil, err
	}
	d.tasks.Go(func(ctx context.Context) {
		err := endpoint.ServeRestarting(ctx, func() (net.Listener, error) {
			if listener := first; listener != nil {
				first = nil
				return listener, nil
			}
			d.record.add("engine %s is back", endpoint.ID)
			return net.Listen("tcp4", endpoint.Address)
		})
		if err != nil {
			d.record.add("engine %s: %v", endpoint.ID, err)
		}
	})
	d.tasks.Go(func(ctx context.Context) {
		time.Sleep(100 * time.Millisecond)
		endpoint.Register("ready")
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			if len(endpoint.Crashes()) == 0 || time.Since(endpoint.Crashes()[len(endpoint.Crashes())-1]) > restartDelay+time.Second {
				endpoint.Heartbeat()
			}
		}
	})
	_, err = d.start("loader", host, serviceName)
	return endpoint, err
}

// badRequests are requests with the part that ends engines.
type badRequests struct {
	deployment *deployment
	hosts      []int
	sent       atomic.Int64
	tasks      sync.WaitGroup
}

// send sends one of them to each gateway in turn and does not wait for the answer.
func (b *badRequests) send() {
	number := b.sent.Add(1)
	host := b.hosts[int(number)%len(b.hosts)]
	id := fmt.Sprintf("bad%04x", number)
	b.deployment.record.add("request %s, with the part, sent to gateway-%d", id, host)
	b.deployment.tasks.Go(func(context.Context) {
		response, err := platformtest.Do(func(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, time.Second) }, platformtest.Request{
			Gateway: b.deployment.address(host, callersPort), AttemptID: id, Method: "POST", Host: callersHost, Path: "/explain/" + id, Body: id,
			Timeout: 6 * time.Second, Model: modelName, PromptTokens: 100, OutputTokens: 5, PromptParts: []string{"aa", badPart},
		})
		if err != nil {
			b.deployment.record.add("request %s ended without an answer", id)
			return
		}
		b.deployment.record.add("request %s got %d, complete: %t", id, response.Status, response.Complete)
	})
}

// forgottenPart kills all gateways after they have learned of a part that ends engines, and counts
// the requests with it that reach engines once the gateways are in touch again.
func forgottenPart(ctx context.Context, directory string, record *record, trouble bool) (result, error) {
	hosts := []int{11, 12, 13, 14}
	d, err := newDeployment(ctx, directory, record, hosts)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	origin := &platformtest.Origin{Model: modelName, Chunks: chunkCount, ChunkBytes: chunkBytes, Layers: engineConfig.Layers, NewestVersion: 1}
	listener, err := net.Listen("tcp4", d.address(originHost, originPort))
	if err != nil {
		return result{}, err
	}
	d.serve(listener, origin.Handle)
	d.store.Configure(desiredState(d.address(originHost, originPort)))
	var engines []*platformtest.Endpoint
	for index := range fewEngines {
		engine, err := d.startCrashingEngine(engineHost+index, origin)
		if err != nil {
			return result{}, err
		}
		engines = append(engines, engine)
	}
	gateways, err := d.startGateways(hosts)
	if err != nil {
		return result{}, err
	}
	callers := &callers{deployment: d}
	stopCallers := callers.start(hosts)
	defer stopCallers()
	time.Sleep(4 * time.Second)
	bad := &badRequests{deployment: d, hosts: hosts}
	var fifth time.Time
	for end := time.Now().Add(30 * time.Second); fifth.IsZero(); time.Sleep(earlyInterval) {
		if time.Now().After(end) {
			return result{}, errors.New("the part ended too few engines")
		}
		bad.send()
		if crashes := allCrashes(engines); len(crashes) >= crashesToKnow {
			fifth = crashes[crashesToKnow-1]
		}
	}
	record.addAt(fifth, "the fifth engine has ended")
	// Until the gateways know the part, they are not judged.
	judgedFrom := fifth.Add(contactTime)
	for time.Now().Before(fifth.Add(2 * contactTime)) {
		bad.send()
		time.Sleep(refusedInterval)
	}
	if trouble {
		for index, gateway := range gateways {
			record.add("gateway-%d is killed", hosts[index])
			if err := gateway.Process.Kill(); err != nil {
				return result{}, err
			}
		}
		killed := time.Now()
		time.Sleep(awayTime)
		if _, err := d.startGateways(hosts); err != nil {
			return result{}, err
		}
		judgedFrom = time.Now().Add(contactTime)
		time.Sleep(max(time.Until(killed.Add(lateInterval)), time.Until(judgedFrom.Add(judgedMargin))))
	}
	for range 5 {
		bad.send()
		time.Sleep(lateInterval)
	}
	return judgeBadRequests(record, engines, judgedFrom), nil
}

// allCrashes returns the times at which engines ended, in their order.
func allCrashes(engines []*platformtest.Endpoint) []time.Time {
	var crashes []time.Time
	for _, engine := range engines {
		crashes = append(crashes, engine.Crashes()...)
	}
	sortTimes(crashes)
	return crashes
}

// judgeBadRequests counts the requests with the part that reached engines from the given time on.
func judgeBadRequests(record *record, engines []*platformtest.Endpoint, from time.Time) result {
	reached, early := 0, 0
	for _, engine := range engines {
		for _, crash := range engine.Crashes() {
			record.addAt(crash, "engine %s ends", engine.ID)
		}
		for _, execution := range engine.Executions() {
			if len(execution.PromptParts) < 2 || execution.PromptParts[1] != badPart {
				continue
			}
			record.addAt(execution.StartedAt, "request %s, with the part, reaches engine %s", execution.AttemptID, engine.ID)
			if execution.StartedAt.Before(from) {
				early++
			} else {
				reached++
			}
		}
	}
	return result{broken: reached > allowedRequests, text: fmt.Sprintf("%d requests with the part reached engines before the gateways had to know it, %d afterwards", early, reached)}
}
