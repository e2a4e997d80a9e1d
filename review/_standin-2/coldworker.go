package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// manyGateways is the number of gateways of the case.
	manyGateways = 21
	firstGateway = 11
	// plainService is a service without a model, whose workers are cold at first.
	plainService = "ledger-api"
	plainHost    = 201
	plainWork    = 15 * time.Millisecond
	warmWorkers  = 1
	// settleTime is how long the gateways run before the worker is added.
	settleTime = 8 * time.Second
)

// startWorker serves a worker of the plain service, which stays cold for a time.
func (d *deployment) startWorker(host int, cold time.Duration) (*platformtest.Endpoint, error) {
	endpoint := &platformtest.Endpoint{
		ID: fmt.Sprintf("i-%d", host), Incarnation: time.Now().UnixMilli(), Service: plainService, Address: d.address(host, enginePort), Zone: zoneName,
		Slots: 6, ProcessingTime: plainWork, Store: d.store,
	}
	listener, err := net.Listen("tcp4", endpoint.Address)
	if err != nil {
		return nil, err
	}
	d.tasks.Go(func(ctx context.Context) { endpoint.Serve(ctx, listener) })
	time.Sleep(50 * time.Millisecond)
	endpoint.Register("ready")
	start := time.Now()
	endpoint.SetColdStart(cold)
	d.tasks.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			endpoint.SetColdStart(max(0, cold-time.Since(start)))
		}
	})
	return endpoint, nil
}

// coldWorker adds a cold worker to a plain service of a deployment with many gateways, and counts what
// it gets.
func coldWorker(ctx context.Context, directory string, record *record, trouble bool) (result, error) {
	var hosts []int
	for index := range manyGateways {
		hosts = append(hosts, firstGateway+index)
	}
	d, err := newDeployment(ctx, directory, record, hosts)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	d.store.Configure(plainState())
	var warm []*platformtest.Endpoint
	for index := range warmWorkers {
		endpoint, err := d.startWorker(plainHost+index, 0)
		if err != nil {
			return result{}, err
		}
		warm = append(warm, endpoint)
	}
	if _, err := d.startGateways(hosts); err != nil {
		return result{}, err
	}
	callers := &callers{deployment: d, plain: true}
	stopCallers := callers.start(hosts)
	defer stopCallers()
	time.Sleep(settleTime)
	added := time.Now()
	var cold []*platformtest.Endpoint
	if trouble {
		record.add("worker i-%d starts, cold for %.1f s", plainHost+len(warm), coldStart)
		endpoint, err := d.startWorker(plainHost+len(warm), time.Duration(coldStart*float64(time.Second)))
		if err != nil {
			return result{}, err
		}
		cold = append(cold, endpoint)
	}
	time.Sleep(time.Duration(coldStart * float64(time.Second)))
	stopCallers()
	if callers.served.Load() < callers.sent.Load()/4 {
		return result{}, errors.Newf("%d of %d requests were served", callers.served.Load(), callers.sent.Load())
	}
	return judgeColdRate(record, warm, cold, added), nil
}

// judgeColdRate finds the second after the given time in which a cold worker got most requests.
func judgeColdRate(record *record, warm, cold []*platformtest.Endpoint, since time.Time) result {
	for _, endpoint := range warm {
		for _, arrival := range endpoint.ArrivalLog() {
			record.addAt(arrival.At, "worker %s gets request %s", endpoint.ID, arrival.AttemptID)
		}
	}
	most, at := 0, since
	for _, endpoint := range cold {
		var times []time.Time
		for _, arrival := range endpoint.ArrivalLog() {
			record.addAt(arrival.At, "worker %s, cold, gets request %s", endpoint.ID, arrival.AttemptID)
			times = append(times, arrival.At)
		}
		sortTimes(times)
		for first, start := range times {
			last := first
			for last < len(times) && times[last].Sub(start) < time.Second {
				last++
			}
			if last-first > most {
				most, at = last-first, start
			}
		}
	}
	limit := coldPerSecond*coldOvershoot + coldTolerance
	text := fmt.Sprintf("a cold worker got %d requests in the second from %.3f s after it was added, %.0f are allowed", most, at.Sub(since).Seconds(), limit)
	return result{broken: float64(most) > limit, text: text}
}
