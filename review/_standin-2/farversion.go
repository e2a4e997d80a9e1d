package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// nextVersion follows version 1 without a gap; farVersion is the time at which it was made, as
	// some operators number versions.
	nextVersion = 2
	farVersion  = 20261207120000
	// loadedAfter is the time after which the version must be served, watchTime how long the
	// callers are watched from then on.
	loadedAfter = 20 * time.Second
	watchTime   = 40 * time.Second
	// busyShare is the share of a core from which a loader that gets nothing done counts as hanging.
	// Without work it uses less than a hundredth.
	busyShare = 0.1
)

// farVersionNamed names a version whose number is far above that of the served one, and looks whether
// requests are still served.
func farVersionNamed(ctx context.Context, directory string, record *record, trouble bool) (result, error) {
	hosts := []int{11, 12}
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
	for index := range 3 {
		engine, err := d.startEngine(engineHost+index, origin)
		if err != nil {
			return result{}, err
		}
		engines = append(engines, engine)
	}
	if _, err := d.startGateways(hosts); err != nil {
		return result{}, err
	}
	callers := &callers{deployment: d}
	stopCallers := callers.start(hosts)
	defer stopCallers()
	time.Sleep(4 * time.Second)
	if callers.served.Load() == 0 {
		return result{}, errors.New("no request was served before")
	}
	version := int64(nextVersion)
	if trouble {
		version = farVersion
	}
	record.add("version %d is named", version)
	d.store.RequestRollout(modelName, version)
	time.Sleep(loadedAfter)
	servedBefore, sentBefore := callers.served.Load(), callers.sent.Load()
	used := d.loaderTimes()
	time.Sleep(watchTime)
	served, sent := callers.served.Load()-servedBefore, callers.sent.Load()-sentBefore
	hanging := 0
	for pid, after := range d.loaderTimes() {
		share := (after - used[pid]).Seconds() / watchTime.Seconds()
		record.add("the loader with process ID %d used %.2f of a core", pid, share)
		if share >= busyShare {
			hanging++
		}
	}
	for _, engine := range engines {
		record.add("engine %s serves version %d", engine.ID, engine.Engine.Version())
	}
	text := fmt.Sprintf("%d of %d requests sent later than %s after version %d was named were served; %d of %d loaders used over %.1f of a core and got nothing done", served, sent, loadedAfter, version, hanging, len(engines), busyShare)
	return result{broken: hanging > 0 && served == 0, text: text}, nil
}

// clockTicks is the number of ticks of the kernel's processor times in a second.
const clockTicks = 100

// loaderTimes returns the processor time that each loader has used, by process ID.
func (d *deployment) loaderTimes() map[int]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	times := map[int]time.Duration{}
	for _, process := range d.processes {
		if !strings.HasSuffix(process.Path, "loader") {
			continue
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
		if err != nil {
			continue
		}
		_, fields, _ := strings.Cut(string(text), ") ")
		values := strings.Fields(fields)
		user, _ := strconv.Atoi(values[11])
		system, _ := strconv.Atoi(values[12])
		times[process.Process.Pid] = time.Duration(user+system) * time.Second / clockTicks
	}
	return times
}
