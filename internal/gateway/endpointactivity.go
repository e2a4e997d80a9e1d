package gateway

import (
	"maps"
	"sync"
	"time"
)

// silenceTime is how long none of the streams that an endpoint has begun may go on before the
// endpoint counts as silent. It exceeds the pauses between the events of a loaded engine.
const silenceTime = 500 * time.Millisecond

// endpointActivity tells endpoints that are silent from those that only take long for a request: of a
// begun stream, an endpoint that is not silent sends more. It is safe for concurrent use.
type endpointActivity struct {
	mu        sync.Mutex
	endpoints map[string]*streamReads
	// received holds when a response header or a part of a stream last arrived.
	received map[string]time.Time
}

// streamReads are the reads from the begun streams of one endpoint.
type streamReads struct {
	// waiting is the number of reads that wait for data. None has returned since quietSince.
	waiting    int
	quietSince time.Time
}

// beginRead records that the gateway waits for more of a begun stream.
func (a *endpointActivity) beginRead(endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reads := a.endpoints[endpoint]
	if reads == nil {
		if a.endpoints == nil {
			a.endpoints = map[string]*streamReads{}
		}
		reads = &streamReads{quietSince: time.Now()}
		a.endpoints[endpoint] = reads
	}
	reads.waiting++
}

// endRead records that a read returned some bytes; none if it failed.
func (a *endpointActivity) endRead(endpoint string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reads := a.endpoints[endpoint]
	reads.waiting--
	reads.quietSince = time.Now()
	if bytes > 0 {
		a.setReceived(endpoint)
	}
	if reads.waiting == 0 {
		delete(a.endpoints, endpoint)
	}
}

// silentSince reports whether an endpoint is silent and has been so since the given time.
func (a *endpointActivity) silentSince(endpoint string, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	reads := a.endpoints[endpoint]
	return reads != nil && !reads.quietSince.After(at) && time.Since(reads.quietSince) >= silenceTime
}

// recordHeader records that an endpoint sent a response header.
func (a *endpointActivity) recordHeader(endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setReceived(endpoint)
}

// setReceived requires that mu is held.
func (a *endpointActivity) setReceived(endpoint string) {
	if a.received == nil {
		a.received = map[string]time.Time{}
	}
	a.received[endpoint] = time.Now()
}

// receivedSince reports whether anything arrived from an endpoint after the given time.
func (a *endpointActivity) receivedSince(endpoint string, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received[endpoint].After(at)
}

// forget removes what was received before the given time.
func (a *endpointActivity) forget(before time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.received, func(_ string, at time.Time) bool { return at.Before(before) })
}
