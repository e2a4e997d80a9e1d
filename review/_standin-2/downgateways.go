package main

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// engineCount is the number of engines of the users' deployment cairnloch-quota.
	engineCount = 11
	// downTime is how long the gateways are away after they were killed, and namedAfter the time
	// from the kill until a version is named.
	downTime   = 4 * time.Second
	namedAfter = 50 * time.Millisecond
	// rolloutBound is the time after which no request begins on a replaced version.
	rolloutBound = 8 * time.Second
)

// startEngine serves an engine with version 1 and starts its loader.
func (d *deployment) startEngine(host int, origin *platformtest.Origin) (*platformtest.Endpoint, error) {
	endpoint := &platformtest.Endpoint{
		ID: fmt.Sprintf("i-%d", host), Incarnation: time.Now().UnixMilli(), Service: serviceName, Address: d.address(host, enginePort), Zone: zoneName,
		Slots: engineConfig.Slots, Engine: platformtest.NewEngine(modelName, engineConfig, origin, 1), Store: d.store,
	}
	listener, err := net.Listen("tcp4", endpoint.Address)
	if err != nil {
		return nil, err
	}
	d.tasks.Go(func(ctx context.Context) { endpoint.Serve(ctx, listener) })
	d.tasks.Go(func(ctx context.Context) {
		time.Sleep(100 * time.Millisecond)
		endpoint.Register("ready")
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			endpoint.Heartbeat()
		}
	})
	_, err = d.start("loader", host, serviceName)
	return endpoint, err
}

// downGateways names a version while all gateways are away, and looks for requests that begin on
// the replaced one too late.
func downGateways(ctx context.Context, directory string, record *record, trouble bool) (result, error) {
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
	for index := range engineCount {
		engine, err := d.startEngine(engineHost+index, origin)
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
	time.Sleep(5 * time.Second)
	if trouble {
		for index, gateway := range gateways {
			record.add("gateway-%d is killed", hosts[index])
			if err := gateway.Process.Kill(); err != nil {
				return result{}, err
			}
		}
	}
	time.Sleep(namedAfter)
	d.store.RequestRollout(modelName, 2)
	named := time.Now()
	record.addAt(named, "version 2 is named")
	time.Sleep(downTime - namedAfter)
	if trouble {
		if _, err := d.startGateways(hosts); err != nil {
			return result{}, err
		}
	}
	time.Sleep(time.Until(named.Add(rolloutBound + 6*time.Second)))
	return judgeVersions(record, engines, named)
}

// startGateways starts gateways and waits until they are ready.
func (d *deployment) startGateways(hosts []int) ([]*exec.Cmd, error) {
	var processes []*exec.Cmd
	for _, host := range hosts {
		process, err := d.start("gateway", host, "")
		if err != nil {
			return nil, err
		}
		processes = append(processes, process)
	}
	for _, host := range hosts {
		if err := d.awaitReady(host); err != nil {
			return nil, err
		}
	}
	return processes, nil
}

// judgeVersions looks for requests that began on version 1 later than rolloutBound after version 2
// was named.
func judgeVersions(record *record, engines []*platformtest.Endpoint, named time.Time) (result, error) {
	late, latest, served := 0, time.Duration(0), 0
	for _, engine := range engines {
		for _, execution := range engine.Executions() {
			if execution.BeganAt.IsZero() {
				continue
			}
			after := execution.BeganAt.Sub(named)
			record.addAt(execution.BeganAt, "request %s begins at engine %s on version %d, %.3f s after version 2 was named", execution.AttemptID, engine.ID, execution.Version, after.Seconds())
			if execution.Version == 1 && after > rolloutBound {
				late, latest = late+1, max(latest, after)
			}
			if execution.Version == 2 {
				served++
			}
		}
	}
	if served == 0 {
		return result{}, errors.New("no request began on version 2")
	}
	return result{broken: late > 0, text: fmt.Sprintf("%d requests began on version 1 later than %s after version 2 was named, the last one %s after", late, rolloutBound, latest.Round(time.Millisecond))}, nil
}
