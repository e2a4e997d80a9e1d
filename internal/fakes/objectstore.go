package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// Limits of the object API; the rates are in requests per second.
const (
	defaultReadRate  = 2000
	defaultWriteRate = 400
	maxPageSize      = 1000
	maxWatchWait     = 30 * time.Second
)

// errResponseLost is returned for a request whose response is lost.
var errResponseLost = errors.New("response lost")

// ObjectStore is a fake of the object API with versions, conditional updates,
// watches, rate limits, outages and responses that are lost after the write.
type ObjectStore struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	objects  map[string]platformclient.Object
	revision int64
	changed  chan struct{}
	faults   ObjectFaults
	counts   ObjectCounts
}

// ObjectFaults are the faults that the store injects.
type ObjectFaults struct {
	// Down makes the store refuse every request.
	Down bool `json:"down"`
	// Delay delays every response.
	Delay time.Duration `json:"slow"`
	// LoseResponses is the fraction of writes, between 0 and 1, whose response is
	// lost after the write has been applied.
	LoseResponses float64 `json:"loseAnswers"`
}

// ObjectCounts counts the requests that the store served or rate-limited.
type ObjectCounts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	RateLimited int64 `json:"limited"`
}

// NewObjectStore returns an empty store with the rate limits of the platform.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{
		reads:   rate.NewLimiter(defaultReadRate, defaultReadRate),
		writes:  rate.NewLimiter(defaultWriteRate, defaultWriteRate),
		objects: map[string]platformclient.Object{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *ObjectStore) SetFaults(faults ObjectFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatchers()
}

// Counts returns a copy of the counters.
func (s *ObjectStore) Counts() ObjectCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// CountObjects returns the number of objects whose key starts with prefix.
func (s *ObjectStore) CountObjects(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.matchingObjects(prefix, "", 0))
}

// RoundTrip handles one request to the object API in the caller's process. It
// is a platformclient.RoundTripFunc.
func (s *ObjectStore) RoundTrip(ctx context.Context, method, address string, body []byte) (int, []byte, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return 400, []byte(err.Error()), nil
	}
	if method == "PUT" && parsed.Path == "/faults" {
		return s.putFaults(body)
	}
	faults := s.currentFaults()
	if faults.Down {
		return 503, []byte("the object API is down"), nil
	}
	if faults.Delay > 0 {
		if err := sleepContext(ctx, faults.Delay); err != nil {
			return 0, nil, err
		}
	}
	if !s.allow(method) {
		return 429, []byte("too many requests"), nil
	}
	return s.serve(ctx, method, parsed, body)
}

func sleepContext(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *ObjectStore) putFaults(body []byte) (int, []byte, error) {
	var faults ObjectFaults
	if err := json.Unmarshal(body, &faults); err != nil {
		return 400, []byte(err.Error()), nil
	}
	s.SetFaults(faults)
	return 200, []byte("{}"), nil
}

func (s *ObjectStore) currentFaults() ObjectFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *ObjectStore) allow(method string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, count := s.reads, &s.counts.Reads
	if method != "GET" {
		limiter, count = s.writes, &s.counts.Writes
	}
	if !limiter.Allow() {
		s.counts.RateLimited++
		return false
	}
	*count++
	return true
}

func (s *ObjectStore) serve(ctx context.Context, method string, address *url.URL, body []byte) (int, []byte, error) {
	key, isObject := strings.CutPrefix(address.Path, "/objects/")
	query := address.Query()
	switch {
	case method == "GET" && isObject:
		return s.get(key)
	case method == "PUT" && isObject:
		return s.put(key, query.Get("ifVersion"), body)
	case method == "DELETE" && isObject:
		return s.remove(key, query.Get("ifVersion"))
	case method == "GET" && address.Path == "/objects":
		return s.list(query.Get("prefix"), query.Get("after"))
	case method == "GET" && address.Path == "/watch":
		return s.watch(ctx, query)
	default:
		return 404, []byte("unknown method or path"), nil
	}
}

func (s *ObjectStore) get(key string) (int, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return 404, []byte("object not found"), nil
	}
	return jsonResponse(object)
}

func (s *ObjectStore) put(key, ifVersion string, value []byte) (int, []byte, error) {
	expected, err := strconv.ParseInt(ifVersion, 10, 64)
	if err != nil || len(value) > platformclient.MaxValueBytes || !json.Valid(value) {
		return 400, []byte("invalid version or value"), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if current.Version != expected {
		return 409, fmt.Appendf(nil, "current version is %d", current.Version), nil
	}
	s.revision++
	updated := platformclient.Object{Key: key, Version: current.Version + 1, Revision: s.revision, Value: slices.Clone(value)}
	s.objects[key] = updated
	s.notifyWatchers()
	if rand.Float64() < s.faults.LoseResponses {
		return 0, nil, errResponseLost
	}
	updated.Value = nil
	return jsonResponse(updated)
}

func (s *ObjectStore) remove(key, ifVersion string) (int, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[key]
	switch {
	case !ok:
		return 404, []byte("object not found"), nil
	case ifVersion != strconv.FormatInt(current.Version, 10):
		return 409, fmt.Appendf(nil, "current version is %d", current.Version), nil
	}
	delete(s.objects, key)
	return jsonResponse(platformclient.Object{Key: key})
}

func (s *ObjectStore) list(prefix, after string) (int, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platformclient.Page{Revision: s.revision, Objects: s.matchingObjects(prefix, after, 0)}
	slices.SortFunc(page.Objects, func(a, b platformclient.Object) int { return strings.Compare(a.Key, b.Key) })
	page.More = len(page.Objects) > maxPageSize
	page.Objects = page.Objects[:min(len(page.Objects), maxPageSize)]
	return jsonResponse(page)
}

func (s *ObjectStore) matchingObjects(prefix, after string, since int64) []platformclient.Object {
	var matches []platformclient.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after && object.Revision > since {
			matches = append(matches, object)
		}
	}
	return matches
}

func (s *ObjectStore) watch(ctx context.Context, query url.Values) (int, []byte, error) {
	since, sinceErr := strconv.ParseInt(query.Get("since"), 10, 64)
	wait, waitErr := time.ParseDuration(query.Get("wait"))
	if sinceErr != nil || waitErr != nil {
		return 400, []byte("invalid revision or wait"), nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWatchWait))
	defer cancel()
	for {
		s.mu.Lock()
		matches, revision, changed, down := s.matchingObjects(query.Get("prefix"), "", since), s.revision, s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return 503, []byte("the object API is down"), nil
		}
		if len(matches) > 0 || ctx.Err() != nil {
			slices.SortFunc(matches, func(a, b platformclient.Object) int { return int(a.Revision - b.Revision) })
			return jsonResponse(platformclient.Page{Objects: matches, Revision: revision})
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *ObjectStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func jsonResponse(value any) (int, []byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return 500, []byte(err.Error()), nil
	}
	return 200, text, nil
}
