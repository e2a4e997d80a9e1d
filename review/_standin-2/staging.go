package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// stagingEngine observes the control requests to an engine, and makes it take a while to read what
// is staged.
type stagingEngine struct {
	endpoint *platformtest.Endpoint
	record   *record

	mu sync.Mutex
	// armed is true until a piece turns bad under the next load.
	armed bool
	// written counts the pieces written for the next load, and reads those read since the last
	// one was written.
	written, reads int
	// badSince holds the pieces that turned bad, and when, until they are written again.
	badSince map[int]time.Time
	// taken describes the pieces that accepted orders took although they had been bad for long,
	// by version.
	taken map[int64]string
}

// expect says that the next load follows. spoil is true if a piece turns bad under it.
func (e *stagingEngine) expect(spoil bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.armed, e.written, e.reads = spoil, 0, 0
}

// handle serves the engine.
func (e *stagingEngine) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	piece, _ := strconv.Atoi(string(c.QueryArgs().Peek("sample_count")))
	switch {
	case strings.HasPrefix(path, "/-/stage-put/"):
		e.mu.Lock()
		e.written, e.reads = e.written+1, 0
		delete(e.badSince, piece)
		e.mu.Unlock()
	case strings.HasPrefix(path, "/-/stage-get/"):
		time.Sleep(stageReadTime)
		defer e.countRead()
	case path == "/-/order":
		e.handleOrder(c)
		return
	}
	e.endpoint.Handle(c)
}

// countRead counts a piece that was read, and turns one bad when it is time for that.
func (e *stagingEngine) countRead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads++
	if !e.armed || e.written < stagedPieces || e.reads < spoilAfter {
		return
	}
	e.armed = false
	piece := rand.IntN(spoilAfter)
	e.endpoint.Engine.CorruptStagedChunk(piece)
	e.badSince[piece] = time.Now()
	e.record.add("%d pieces were written and %d read back; piece %d at the engine turns bad", e.written, e.reads, piece)
}

// handleOrder records which pieces an accepted order takes although they have been bad for long.
func (e *stagingEngine) handleOrder(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var order struct {
		Version int64 `json:"version"`
	}
	_ = json.Unmarshal(c.PostBody(), &order)
	e.endpoint.Handle(c)
	status := c.Response.StatusCode()
	e.record.add("engine gets the order to load version %d and answers %d", order.Version, status)
	if status != fasthttp.StatusAccepted {
		return
	}
	for piece, since := range e.badSince {
		age := now.Sub(since)
		e.record.add("piece %d, which is taken, has been bad for %.3f s", piece, age.Seconds())
		if age > badTolerance {
			e.taken[order.Version] = fmt.Sprintf("piece %d, which had been bad for %.2f s when it was taken", piece, age.Seconds())
		}
	}
}

// badTolerance is how long a piece may have been bad when it is taken.
const badTolerance = 3 * time.Second

// judge reports whether tokens were made with pieces that had been bad for long.
func (e *stagingEngine) judge() (result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := map[int64]int{}
	for _, execution := range e.endpoint.Executions() {
		if !execution.BeganAt.IsZero() {
			e.record.addAt(execution.BeganAt, "engine makes the first token of request %s with version %d", execution.AttemptID, execution.Version)
			tokens[execution.Version]++
		}
	}
	if tokens[lastVersion] == 0 {
		return result{}, errors.New("the engine made no token with the last version")
	}
	found := result{text: "no token was made with a piece that had been bad for over 3 s"}
	for version, text := range e.taken {
		if tokens[version] > 0 {
			found.broken = true
			found.text = fmt.Sprintf("%d requests got tokens of version %d, made with %s", tokens[version], version, text)
		}
	}
	return found, nil
}

const (
	// stagedPieces is the number of pieces of the weights, which have 9.4 MB, and stageReadTime how
	// long the engine takes to read back one of them.
	stagedPieces  = 384
	stageReadTime = 9 * time.Millisecond
	// lastVersion is the version that is named, which must be loaded within loadTimeout.
	lastVersion = 2
	loadTimeout = 40 * time.Second
	// spoilAfter is the number of pieces that the loader has read back when one of them turns bad.
	spoilAfter = 40
)

// stagedRot lets a piece that lies at an engine turn bad while the loader reads all of them back.
func stagedRot(ctx context.Context, directory string, record *record, trouble bool) (result, error) {
	hosts := []int{11, 12}
	d, err := newDeployment(ctx, directory, record, hosts)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	engineConfig.Chunks = stagedPieces
	origin := &platformtest.Origin{Model: modelName, Chunks: stagedPieces, ChunkBytes: chunkBytes, Layers: engineConfig.Layers, NewestVersion: 1}
	d.store.Configure(desiredState(d.address(originHost, originPort)))
	engine, err := d.startStagingEngine(origin)
	if err != nil {
		return result{}, err
	}
	for _, host := range hosts {
		if _, err := d.start("gateway", host, ""); err != nil {
			return result{}, err
		}
	}
	if _, err := d.start("loader", engineHost, serviceName); err != nil {
		return result{}, err
	}
	for _, host := range hosts {
		if err := d.awaitReady(host); err != nil {
			return result{}, err
		}
	}
	callers := &callers{deployment: d}
	stopCallers := callers.start(hosts)
	defer stopCallers()
	time.Sleep(2 * time.Second)
	record.add("version %d is named", lastVersion)
	engine.expect(trouble)
	d.store.RequestRollout(modelName, lastVersion)
	for end := time.Now().Add(loadTimeout); engine.endpoint.Engine.Version() < lastVersion; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return result{}, errors.Newf("version %d was not loaded", lastVersion)
		}
	}
	time.Sleep(time.Second)
	return engine.judge()
}

// startStagingEngine serves an engine with version 1 and its origin.
func (d *deployment) startStagingEngine(origin *platformtest.Origin) (*stagingEngine, error) {
	originListener, err := net.Listen("tcp4", d.address(originHost, originPort))
	if err != nil {
		return nil, err
	}
	d.serve(originListener, origin.Handle)
	endpoint := &platformtest.Endpoint{
		ID: "i-1", Incarnation: time.Now().UnixMilli(), Service: serviceName, Address: d.address(engineHost, enginePort), Zone: zoneName, Slots: engineConfig.Slots,
		Engine: platformtest.NewEngine(modelName, engineConfig, origin, 1), Store: d.store,
	}
	// Serve runs the engine. Its requests come through the other address.
	unused, err := net.Listen("tcp4", d.address(engineHost, enginePort+1))
	if err != nil {
		return nil, err
	}
	d.tasks.Go(func(ctx context.Context) { endpoint.Serve(ctx, unused) })
	listener, err := net.Listen("tcp4", endpoint.Address)
	if err != nil {
		return nil, err
	}
	engine := &stagingEngine{endpoint: endpoint, record: d.record, badSince: map[int]time.Time{}, taken: map[int64]string{}}
	d.serve(listener, engine.handle)
	time.Sleep(100 * time.Millisecond)
	endpoint.Register("ready")
	d.tasks.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			endpoint.Heartbeat()
		}
	})
	return engine, nil
}
