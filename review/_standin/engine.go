package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pieceData returns a piece of a version of the weights.
func pieceData(w weights, version int64, piece int) []byte {
	source := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%s %d %d", modelName, version, piece)))
	data := make([]byte, w.chunkBytes)
	_, _ = source.Read(data)
	return data
}

// origin is the service that provides the weights.
type origin struct {
	weights weights
	// spoil changes the body of an answer, if it is not nil.
	spoil func(path string, body []byte)
}

func (o *origin) handle(w *worker, conn net.Conn, request *http.Request, _ []byte) bool {
	version, _ := strconv.ParseInt(request.URL.Query().Get("version"), 10, 64)
	var body []byte
	switch {
	case strings.HasPrefix(request.URL.Path, "/-/manifest/"):
		digests := make([]string, o.weights.chunks)
		for piece := range digests {
			sum := sha256.Sum256(pieceData(o.weights, version, piece))
			digests[piece] = hex.EncodeToString(sum[:])
		}
		body = encode(map[string]any{"model": modelName, "version": version, "chunk_bytes": o.weights.chunkBytes, "layers": o.weights.layers, "digests": digests})
	case strings.HasPrefix(request.URL.Path, "/-/piece/"):
		piece, _ := strconv.Atoi(request.URL.Query().Get("sample_count"))
		body = pieceData(o.weights, version, piece)
	}
	if o.spoil != nil {
		o.spoil(request.URL.Path, body)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// spoiltExcuse is the time for which a piece may have been spoilt before it is taken.
const spoiltExcuse = 3 * time.Second

// piece is a staged piece. spoiltAt is when it turned bad, zero if it is as it was written.
type piece struct {
	data     []byte
	spoiltAt time.Time
	// version is that of the pieces that are being rolled out, if this is one of them.
	version int64
}

// engine is a stand-in for a model worker: it stages pieces, loads what is staged at the
// moment of an order, and streams tokens.
type engine struct {
	weights weights
	worker  *worker
	rig     *rig
	// onSent is called with each piece that was read back, after it was sent.
	onSent func(piece int)
	// answer streams an answer; nil streams a few events.
	answer func(conn net.Conn, request *http.Request, body []byte) bool
	// loadTime is how long a load takes.
	loadTime time.Duration

	mu     sync.Mutex
	staged map[int]*piece
	// next is the version that is being rolled out, with its pieces.
	next       int64
	nextPieces [][]byte
	version    int64
	busy       bool
	orders     int64
	starts     int
	// badLayers holds the layers of the loaded version that were taken with a spoilt or
	// foreign piece, with the pieces' ages as spoilt ones.
	badLayers map[int]string
	// badTokens counts the tokens made with a bad layer.
	badTokens int
	tokens    int
}

// newEngine returns an engine that holds a version, with its pieces staged.
func newEngine(r *rig, w weights, version int64) *engine {
	e := &engine{rig: r, weights: w, staged: map[int]*piece{}, version: version, loadTime: 300 * time.Millisecond}
	if version > 0 {
		for index := range w.chunks {
			e.staged[index] = &piece{data: pieceData(w, version, index)}
		}
	}
	return e
}

// startEngine starts a worker with the engine.
func (r *rig) startEngine(e *engine, id, zone string, host int) (*worker, error) {
	e.worker = &worker{rig: r, id: id, service: draftService, zone: zone, host: host, slots: 16, handle: e.handle, entry: e.fields}
	return e.worker, e.worker.start()
}

// fields returns the loaded model for the worker's entry and its report.
func (e *engine) fields() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	fields := map[string]any{"phase": "colocated", "models": []any{}}
	if e.version > 0 {
		fields["models"] = []any{map[string]any{"name": modelName, "version": e.version, "adapters": []string{}}}
		fields["layers"] = map[string]any{"from": 0, "to": e.weights.layers, "version": e.version}
	}
	return fields
}

// forget drops what a crash loses. Staged pieces survive.
func (e *engine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.busy, e.orders, e.badLayers = 0, false, 0, nil
	e.starts++
}

func (e *engine) handle(w *worker, conn net.Conn, request *http.Request, body []byte) bool {
	index, _ := strconv.Atoi(request.URL.Query().Get("sample_count"))
	switch path := request.URL.Path; {
	case path == "/-/report":
		report := e.fields()
		e.mu.Lock()
		report["busy"], report["seq_no"], report["born"] = e.busy, e.orders, w.born
		report["queued"], report["active"], report["kv_in_use"], report["kv_size"], report["pace"] = 0, 0, 0, 1180000*e.weights.layers, 1
		e.mu.Unlock()
		return respond(conn, http.StatusOK, encode(report))
	case path == "/-/order":
		return respond(conn, e.order(body), nil)
	case strings.HasPrefix(path, "/-/stage-put/"):
		e.mu.Lock()
		e.staged[index] = &piece{data: body}
		if index < len(e.nextPieces) && bytes.Equal(body, e.nextPieces[index]) {
			e.staged[index].version = e.next
		}
		e.mu.Unlock()
		return respond(conn, http.StatusOK, nil)
	case strings.HasPrefix(path, "/-/stage-get/"):
		e.mu.Lock()
		staged := e.staged[index]
		var data []byte
		if staged != nil {
			data = append(data, staged.data...)
		}
		e.mu.Unlock()
		if staged == nil {
			return respond(conn, http.StatusNotFound, nil)
		}
		kept := respond(conn, http.StatusOK, data)
		if e.onSent != nil {
			e.onSent(index)
		}
		return kept
	case e.answer != nil:
		return e.answer(conn, request, body)
	default:
		return e.stream(conn, request, 5)
	}
}

func respond(conn net.Conn, status int, body []byte) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err == nil
}

// order begins a load of the staged pieces as they are now.
func (e *engine) order(body []byte) int {
	var order struct {
		Operation string `json:"operation"`
		Version   int64  `json:"version"`
		Expected  *int64 `json:"expected"`
	}
	if json.Unmarshal(body, &order) != nil || order.Operation != "start" {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Version == e.version:
		return http.StatusOK
	case e.busy, order.Expected != nil && *order.Expected != e.orders:
		return http.StatusConflict
	}
	e.orders++
	e.busy = true
	bad := map[int]string{}
	for index := range e.weights.chunks {
		staged, layer := e.staged[index], index*e.weights.layers/e.weights.chunks
		switch {
		case staged == nil:
			bad[layer] = fmt.Sprintf("piece %d was missing", index)
		case !staged.spoiltAt.IsZero() && time.Since(staged.spoiltAt) <= spoiltExcuse:
			e.rig.note("%s takes piece %d, which has been spoilt for %.3f s: excused", e.worker.id, index, time.Since(staged.spoiltAt).Seconds())
		case !staged.spoiltAt.IsZero():
			bad[layer] = fmt.Sprintf("piece %d had been spoilt for %.3f s", index, time.Since(staged.spoiltAt).Seconds())
		case string(staged.data) != string(pieceData(e.weights, order.Version, index)):
			bad[layer] = fmt.Sprintf("piece %d was of another version", index)
		}
	}
	e.rig.note("%s accepted the order to load version %d; layers taken in a bad state: %v", e.worker.id, order.Version, bad)
	starts := e.starts
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts == starts {
			e.busy, e.version, e.badLayers = false, order.Version, bad
			e.rig.note("%s serves version %d", e.worker.id, order.Version)
		}
	})
	return http.StatusAccepted
}

// expect sets the version that is being rolled out.
func (e *engine) expect(version int64) {
	pieces := make([][]byte, e.weights.chunks)
	for index := range pieces {
		pieces[index] = pieceData(e.weights, version, index)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next, e.nextPieces = version, pieces
}

// stagedNext reports whether all pieces of the version that is being rolled out are staged and
// not yet ordered. The caller must hold mu.
func (e *engine) stagedNext() bool {
	for index := range e.weights.chunks {
		if staged := e.staged[index]; staged == nil || staged.version != e.next || !staged.spoiltAt.IsZero() {
			return false
		}
	}
	return !e.busy && e.version < e.next
}

// spoil turns a staged piece bad.
func (e *engine) spoil(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if staged := e.staged[index]; staged != nil && staged.spoiltAt.IsZero() {
		data := append([]byte(nil), staged.data...)
		data[len(data)/2] ^= 0x20
		e.staged[index] = &piece{data: data, spoiltAt: time.Now()}
	}
}

// stream sends an answer with a number of events of five tokens each.
func (e *engine) stream(conn net.Conn, request *http.Request, events int) bool {
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.mu.Unlock()
	if version == 0 || busy {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"))
		return err == nil
	}
	time.Sleep(60 * time.Millisecond)
	head := e.worker.answerHead(request, http.StatusOK, fmt.Sprintf("Content-Type: text/event-stream\r\nX-Weight-Versions: %d\r\nTransfer-Encoding: chunked\r\n", version))
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for id := 1; id <= events; id++ {
		e.makeTokens(5)
		if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, request.Header.Get("X-Attempt-Id")))); err != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func (e *engine) makeTokens(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens += count
	if len(e.badLayers) > 0 {
		e.badTokens += count
	}
}

// losePower drops all that the engine holds, with what is staged.
func (e *engine) losePower() {
	e.forget()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged = map[int]*piece{}
}
