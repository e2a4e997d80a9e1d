package fakes

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// Engine is a fake model engine with cold starts, a batching limit, load orders
// with a fencing number, streamed responses and injected faults. The generated
// text depends on every byte of the loaded weights, so a response from partial
// or mixed weights can be detected.
type Engine struct {
	// WarmLimit is the maximum number of concurrent requests of a warm engine.
	WarmLimit int
	// ColdLimit is the maximum number of concurrent requests during a cold
	// start.
	ColdLimit int
	// ColdStartDuration is how long a cold start takes.
	ColdStartDuration time.Duration
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// FirstTokenLatency is the time to the first token of a warm engine. A
	// cold engine takes coldSlowdown times as long.
	FirstTokenLatency time.Duration
	// IgnoresFencing makes the engine accept load orders with outdated fencing
	// numbers.
	IgnoresFencing bool

	mu            sync.Mutex
	weightSet     string
	contentDigest weights.Digest
	fencingNumber int64
	warmAt        time.Time
	inFlight      int
	// inFlightCold counts the requests in flight that started during a cold
	// start.
	inFlightCold   int
	faults         EngineFaults
	counts         EngineCounts
	lastCompletion activeCompletion
}

// coldSlowdown is the factor by which a cold start lengthens the time to the
// first token.
const coldSlowdown = 4

// EngineFaults are the faults that the engine injects.
type EngineFaults struct {
	// Misdirected is the number of next responses that carry the request id and
	// the prompt of the previous request.
	Misdirected int `json:"cross"`
	// Truncated is the number of next streams that end without an end marker.
	Truncated int `json:"cut"`
	// Duplicated is the number of next responses that are sent twice.
	Duplicated int `json:"duplicate"`
	// RejectResumed responds with an error to requests that continue a stream.
	RejectResumed bool `json:"rejectResumed"`
	// WrongWeights is the number of next responses generated from other weights.
	WrongWeights int `json:"swapUnnoticed"`
}

// EngineCounts counts the requests and loads of the engine.
type EngineCounts struct {
	ChatCompletions int64 `json:"drafts"`
	// Overloads counts the requests that exceeded the limit in force.
	Overloads int64 `json:"overloads"`
	// MaxOverload is the largest excess over the limit in force.
	MaxOverload int   `json:"worstOverload"`
	Loads       int64 `json:"loads"`
	Canceled    int64 `json:"canceled"`
	// Rejected counts the requests that the engine refused as invalid.
	Rejected int64 `json:"rejected"`
	// Priorities counts the chat completions by their Priority header.
	Priorities map[string]int64 `json:"priorities"`
}

// EngineStatus is the status of the engine.
type EngineStatus struct {
	Set           string `json:"set"`
	Content       string `json:"content"`
	Cold          bool   `json:"cold"`
	InFlight      int    `json:"inFlight"`
	FencingNumber int64  `json:"fence"`
}

// activeCompletion is a request that the engine is processing.
type activeCompletion struct {
	requestID     string
	weightSet     string
	contentDigest weights.Digest
	prompt        string
	cold          bool
	truncated     bool
	duplicated    bool
}

// Load replaces the weights and starts a cold start. It returns false if the
// fencing number is lower than the last one, unless IgnoresFencing is set.
func (e *Engine) Load(set string, fencingNumber int64, data []byte) bool {
	content := weights.Sum(data)
	e.mu.Lock()
	defer e.mu.Unlock()
	if fencingNumber < e.fencingNumber && !e.IgnoresFencing {
		return false
	}
	e.weightSet, e.contentDigest, e.fencingNumber = set, content, max(e.fencingNumber, fencingNumber)
	e.warmAt = time.Now().Add(e.ColdStartDuration)
	e.counts.Loads++
	return true
}

// EnterColdStart starts a cold start without a load or a restart.
func (e *Engine) EnterColdStart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmAt = time.Now().Add(e.ColdStartDuration)
}

// Restart unloads the weights, as a restart of the engine does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weightSet, e.contentDigest = "", weights.Digest{}
}

// Status returns the status of the engine.
func (e *Engine) Status() EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStatus{Set: e.weightSet, Content: e.contentDigest.String(), Cold: e.isCold(), InFlight: e.inFlight, FencingNumber: e.fencingNumber}
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Priorities = maps.Clone(e.counts.Priorities)
	return counts
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

func (e *Engine) isCold() bool { return time.Now().Before(e.warmAt) }

// startCompletion accepts a request and returns false if no weights are loaded.
// An overload is counted and starts a new cold start, since real engines fail
// under overload.
func (e *Engine) startCompletion(requestID, prompt, priority string) (activeCompletion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.weightSet == "" {
		return activeCompletion{}, false
	}
	completion := activeCompletion{requestID: requestID, weightSet: e.weightSet, contentDigest: e.contentDigest, prompt: prompt, cold: e.isCold()}
	e.inFlight++
	e.counts.ChatCompletions++
	if e.counts.Priorities == nil {
		e.counts.Priorities = map[string]int64{}
	}
	e.counts.Priorities[priority]++
	excess := e.inFlight - e.WarmLimit
	if completion.cold {
		e.inFlightCold++
		excess = max(excess, e.inFlightCold-e.ColdLimit)
	}
	if excess > 0 {
		e.counts.Overloads++
		e.counts.MaxOverload = max(e.counts.MaxOverload, excess)
		e.warmAt = time.Now().Add(e.ColdStartDuration)
	}
	e.applyFaults(&completion)
	return completion, true
}

func (e *Engine) countRejected() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Rejected++
}

// rejectsResumed reports whether requests that continue a stream are rejected.
func (e *Engine) rejectsResumed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.RejectResumed
}

func (e *Engine) applyFaults(completion *activeCompletion) {
	original := *completion
	if e.faults.Misdirected > 0 {
		e.faults.Misdirected--
		completion.requestID, completion.prompt = e.lastCompletion.requestID, e.lastCompletion.prompt
	}
	if e.faults.Truncated > 0 {
		e.faults.Truncated--
		completion.truncated = true
	}
	if e.faults.Duplicated > 0 {
		e.faults.Duplicated--
		completion.duplicated = true
	}
	if e.faults.WrongWeights > 0 {
		e.faults.WrongWeights--
		completion.contentDigest = weights.Digest{}
		completion.weightSet = completion.contentDigest.String()
	}
	e.lastCompletion = original
}

func (e *Engine) endCompletion(completion activeCompletion, canceled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if completion.cold {
		e.inFlightCold--
	}
	if canceled {
		e.counts.Canceled++
	}
}

func (e *Engine) firstTokenLatency(cold bool) time.Duration {
	if cold {
		return coldSlowdown * e.FirstTokenLatency
	}
	return e.FirstTokenLatency
}

// Token returns the token at the index of the response to the prompt, generated
// from weights with the content digest.
func Token(content weights.Digest, prompt string, index int) string {
	sum := sha256.Sum256([]byte(content.String() + "|" + prompt + "|" + strconv.Itoa(index)))
	return hex.EncodeToString(sum[:3])
}
