package main

import (
	"bufio"
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

// worker is a stand-in for a server of a service. It serves one request at a time on a
// connection.
type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	host    int
	slots   int
	// handle answers a request and reports whether the connection may be kept.
	handle func(w *worker, conn net.Conn, request *http.Request, body []byte) bool
	// entry returns further fields of the worker's entry in the store.
	entry func() map[string]any

	mu          sync.Mutex
	born        int64
	heartbeats  int
	listener    net.Listener
	connections map[net.Conn]bool
	crashes     []time.Time
	stopped     chan struct{}
	running     atomic.Int64
}

func (w *worker) address() string { return w.rig.address(w.host, workerPort) }

// start listens and registers the worker. Its heartbeats go on until it crashes.
func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.address())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.heartbeats, w.listener, w.connections, w.stopped = time.Now().UnixMilli(), 0, listener, map[net.Conn]bool{}, make(chan struct{})
	stopped := w.stopped
	w.mu.Unlock()
	background.Go(func(context.Context) { w.accept(listener) })
	background.Go(func(context.Context) {
		for {
			w.register("ready")
			select {
			case <-stopped:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	})
	return nil
}

func (w *worker) register(state string) {
	w.mu.Lock()
	w.heartbeats++
	entry := map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "seq_no": w.heartbeats, "born": w.born,
	}
	w.mu.Unlock()
	if w.entry != nil {
		for name, value := range w.entry() {
			entry[name] = value
		}
	}
	w.rig.write("servers", w.id, entry)
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.listener != listener {
			w.mu.Unlock()
			_ = conn.Close()
			return
		}
		w.connections[conn] = true
		w.mu.Unlock()
		background.Go(func(context.Context) { w.serve(conn) })
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.connections, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if target := request.Header.Get("X-Target-Instance"); target != "" && target != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("X-Attempt-Id"))
			continue
		}
		w.running.Add(1)
		keep := w.handle(w, conn, request, body)
		w.running.Add(-1)
		if !keep {
			return
		}
	}
}

// crash ends the worker: its connections break, and its address refuses new ones. Its entry
// stays until the store removes it, or until the worker is back after the pause.
func (w *worker) crash(pause time.Duration, restarted func()) {
	w.mu.Lock()
	if w.listener == nil {
		w.mu.Unlock()
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	close(w.stopped)
	for conn := range w.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	w.crashes = append(w.crashes, time.Now())
	w.mu.Unlock()
	w.rig.note("%s crashed", w.id)
	time.AfterFunc(pause, func() {
		if restarted != nil {
			restarted()
		}
		for w.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		w.rig.note("%s is back", w.id)
	})
}

func (w *worker) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.crashes...)
}

// answerHead returns the head of a sound answer.
func (w *worker) answerHead(request *http.Request, status int, framing string) string {
	id := request.Header.Get("X-Attempt-Id")
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\n%s\r\n", status, http.StatusText(status), id, w.id, id, framing)
}

// sendPlain sends a sound answer with a length.
func (w *worker) sendPlain(conn net.Conn, request *http.Request, body string) bool {
	_, err := io.WriteString(conn, w.answerHead(request, http.StatusOK, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
	return err == nil
}

// chunk encodes a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// promptParts returns the IDs of the parts of a prompt.
func promptParts(request *http.Request) []string {
	parts := strings.Split(request.Header.Get("X-Prefix-Hash"), ",")
	for index := range parts {
		parts[index], _, _ = strings.Cut(parts[index], ":")
	}
	return parts
}

// sendBooking answers a request of the plain service.
func sendBooking(w *worker, conn net.Conn, request *http.Request, _ []byte) bool {
	time.Sleep(15 * time.Millisecond)
	return w.sendPlain(conn, request, strings.Repeat("y", 800))
}
