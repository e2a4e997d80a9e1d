package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

const (
	completionTokens = 40
	callerInterval   = 20 * time.Millisecond
	bookingInterval  = 100 * time.Millisecond
)

// loadGenerator runs the callers of the demo and records the outcomes of their
// requests.
type loadGenerator struct {
	cluster *cluster
	site    Site
	client  *upstream.Client

	mu             sync.Mutex
	contentDigests map[weights.Digest]weights.Digest
	callCounts     callCounts
	// outcomes contains the outcomes that the callers received, by idempotency
	// key.
	outcomes map[string][]outcome.Outcome
}

// callCounts counts the outcomes of the requests.
type callCounts struct {
	completionsDone    int
	completionsNotRun  int
	completionsUnknown int
	mixedWeights       int
	misdirected        int
	truncated          int
	bookingsDone       int
	bookingsNotRun     int
	bookingsUnknown    int
	connectErrors      int
}

func newLoadGenerator(c *cluster, site Site) *loadGenerator {
	dial := func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
	client := &upstream.Client{Dial: dial, FirstByteTimeout: 15 * time.Second, IdleTimeout: 10 * time.Second}
	return &loadGenerator{
		cluster: c, site: site, client: client.Init(),
		contentDigests: map[weights.Digest]weights.Digest{}, outcomes: map[string][]outcome.Outcome{},
	}
}

// run starts the given number of callers of each kind in every location.
func (l *loadGenerator) run(group *concurrency.Group, chatCallers, bookingCallers int) {
	for index, location := range l.site.Locations {
		workspace := l.site.Workspaces[index%len(l.site.Workspaces)]
		for range chatCallers {
			group.Go(func(ctx context.Context) { l.chatLoop(ctx, location, workspace) })
		}
		for range bookingCallers {
			group.Go(func(ctx context.Context) { l.bookingLoop(ctx, location, workspace) })
		}
	}
}

// caller caches the entry addresses that the system has returned to it.
type caller struct {
	load      *loadGenerator
	location  Location
	addresses []string
	expiresAt time.Time
}

// address returns the address of the entry to use. When the cached addresses have
// expired, it requests them from a random entry of the cluster.
func (c *caller) address() string {
	if time.Now().Before(c.expiresAt) && len(c.addresses) > 0 {
		return c.addresses[0]
	}
	for _, entry := range c.load.entryAddresses() {
		var response struct {
			Addresses []struct {
				Address string `json:"address"`
			} `json:"addresses"`
			KeepSeconds int `json:"keepSeconds"`
		}
		url := fmt.Sprintf("http://%s/v1/addresses?availabilityZone=%s&region=%s", entry, c.location.Zone, c.location.Region)
		if err := c.load.cluster.getJSON(url, &response); err != nil || len(response.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, item := range response.Addresses {
			c.addresses = append(c.addresses, item.Address)
		}
		c.expiresAt = time.Now().Add(time.Duration(response.KeepSeconds) * time.Second)
		return c.addresses[0]
	}
	return ""
}

// rotateAddress switches to the next address. If there is no other, it expires
// the cache.
func (c *caller) rotateAddress() {
	if len(c.addresses) > 1 {
		c.addresses = append(c.addresses[1:], c.addresses[0])
	} else {
		c.expiresAt = time.Time{}
	}
}

func (l *loadGenerator) entryAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, entry := range l.cluster.entries {
		addresses = append(addresses, entry.instance.CallersAddress)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

func (l *loadGenerator) count(add func(counts *callCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.callCounts)
}

func (l *loadGenerator) chatLoop(ctx context.Context, location Location, workspace string) {
	c := &caller{load: l, location: location}
	for ctx.Err() == nil {
		if address := c.address(); address != "" && !l.chat(address, workspace) {
			c.rotateAddress()
		}
		concurrency.Sleep(ctx, callerInterval)
	}
}

// chat requests one chat completion and checks its whole text. It returns false
// if the entry could not be reached or the stream ended without an end marker.
func (l *loadGenerator) chat(address, workspace string) bool {
	id, prompt := uuid.NewString(), "rail for "+uuid.NewString()
	body, _ := json.Marshal(map[string]any{
		"model": "draft", "stream": true, "max_tokens": completionTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	response, err := l.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + address + "/v1/chat/completions", Body: body,
		Headers: map[string]string{outcome.RequestIDHeader: id, outcome.WorkspaceHeader: workspace, "Content-Type": "application/json"},
	})
	if err != nil {
		l.count(func(counts *callCounts) { counts.connectErrors++ })
		return false
	}
	defer response.Close()
	if response.Status() != 200 {
		l.countRefusal(outcome.Outcome(response.Header(outcome.Header)))
		return true
	}
	return l.checkCompletion(response, id, prompt)
}

func (l *loadGenerator) countRefusal(result outcome.Outcome) {
	l.count(func(counts *callCounts) {
		if result == outcome.NotRun {
			counts.completionsNotRun++
		} else {
			counts.completionsUnknown++
		}
	})
}

// checkCompletion checks a streamed chat completion by its text alone.
func (l *loadGenerator) checkCompletion(response *upstream.Response, id, prompt string) bool {
	checker := &streamcheck.Checker{RequestID: id, Set: response.Header(outcome.WeightSetHeader)}
	var text strings.Builder
	for {
		line, err := response.ReadLine()
		if strings.HasPrefix(string(line), "event: error") {
			l.count(func(counts *callCounts) { counts.completionsUnknown++ })
			return true
		}
		if checkErr := checker.CheckLine(line); checkErr != nil {
			l.count(func(counts *callCounts) { counts.misdirected++ })
			return true
		}
		text.WriteString(chunkContent(line))
		if checker.Ended() {
			break
		}
		if err != nil {
			l.countTruncated(err)
			return false
		}
	}
	set, err := weights.ParseDigest(checker.Set)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || text.String() != expectedText(l.contentDigests[set], prompt) {
		l.callCounts.mixedWeights++
		return true
	}
	l.callCounts.completionsDone++
	return true
}

// countTruncated counts a stream without an end marker. A broken connection is an
// explicit error for the caller; a regular end of the stream is not.
func (l *loadGenerator) countTruncated(err error) {
	l.count(func(counts *callCounts) {
		if err.Error() == "EOF" {
			counts.truncated++
		} else {
			counts.connectErrors++
		}
	})
}

func chunkContent(line []byte) string {
	data, isData := strings.CutPrefix(strings.TrimSpace(string(line)), "data:")
	if !isData {
		return ""
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// expectedText returns the whole response to the prompt, generated from weights
// with the content digest.
func expectedText(content weights.Digest, prompt string) string {
	var text strings.Builder
	for index := range completionTokens {
		text.WriteString(fakes.Token(content, prompt, index) + " ")
	}
	return text.String()
}

func (l *loadGenerator) bookingLoop(ctx context.Context, location Location, workspace string) {
	c := &caller{load: l, location: location}
	for ctx.Err() == nil {
		l.book(ctx, c, workspace)
		concurrency.Sleep(ctx, bookingInterval)
	}
}

// maxBookingAttempts is the maximum number of attempts of a booking with the same
// key.
const maxBookingAttempts = 4

// book sends one booking and retries it with the same key, at another entry,
// until it succeeds or maxBookingAttempts is reached.
func (l *loadGenerator) book(ctx context.Context, c *caller, workspace string) {
	key := uuid.NewString()
	for range maxBookingAttempts {
		address := c.address()
		if address == "" {
			continue
		}
		result := l.bookOnce(address, key, workspace)
		l.mu.Lock()
		l.outcomes[key] = append(l.outcomes[key], result)
		l.mu.Unlock()
		if result == outcome.Done {
			l.count(func(counts *callCounts) { counts.bookingsDone++ })
			return
		}
		c.rotateAddress()
		concurrency.Sleep(ctx, bookingInterval)
	}
	l.count(func(counts *callCounts) {
		if results := l.outcomes[key]; len(results) > 0 && results[len(results)-1] == outcome.Unknown {
			counts.bookingsUnknown++
		} else {
			counts.bookingsNotRun++
		}
	})
}

func (l *loadGenerator) bookOnce(address, key, workspace string) outcome.Outcome {
	response, err := l.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + address + "/services/" + l.site.Service + "/book", Body: []byte(`{"rail":1}`),
		Headers: map[string]string{outcome.IdempotencyKeyHeader: key, outcome.WorkspaceHeader: workspace, "Content-Type": "application/json"},
	})
	if err != nil {
		return outcome.Unknown
	}
	defer response.Close()
	if _, err := response.ReadBody(); err != nil {
		return outcome.Unknown
	}
	return outcome.Outcome(response.Header(outcome.Header))
}
