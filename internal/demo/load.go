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
	draftTokens  = 40
	callerPause  = 20 * time.Millisecond
	bookingPause = 100 * time.Millisecond
)

// load is the callers of the demo and what they saw.
type load struct {
	cluster *cluster
	site    Site
	client  *upstream.Client

	mu       sync.Mutex
	contents map[weights.Digest]weights.Digest
	tally    tally
	// answers holds the outcomes that callers got for each idempotency key.
	answers map[string][]outcome.Outcome
}

// tally counts what the callers saw.
type tally struct {
	draftsWhole   int
	draftsNotRun  int
	draftsUnknown int
	mixed         int
	crossed       int
	silentlyCut   int
	bookingsDone  int
	bookingNotRun int
	bookingUnsure int
	connectErrors int
}

func newLoad(c *cluster, site Site) *load {
	dial := func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
	client := &upstream.Client{Dial: dial, FirstByteTimeout: 15 * time.Second, IdleTimeout: 10 * time.Second}
	return &load{
		cluster: c, site: site, client: client.Open(),
		contents: map[weights.Digest]weights.Digest{}, answers: map[string][]outcome.Outcome{},
	}
}

// run starts callers in every place.
func (l *load) run(group *concurrency.Group, drafts, bookings int) {
	for index, place := range l.site.Locations {
		workspace := l.site.Workspaces[index%len(l.site.Workspaces)]
		for range drafts {
			group.Go(func(ctx context.Context) { l.draftLoop(ctx, place, workspace) })
		}
		for range bookings {
			group.Go(func(ctx context.Context) { l.bookLoop(ctx, place, workspace) })
		}
	}
}

// caller keeps the addresses that the system told it to use.
type caller struct {
	load      *load
	place     Location
	addresses []string
	until     time.Time
}

// address returns the entry to use, asking any known entry when the last
// answer is too old.
func (c *caller) address() string {
	if time.Now().Before(c.until) && len(c.addresses) > 0 {
		return c.addresses[0]
	}
	for _, entry := range c.load.entryAddresses() {
		var list struct {
			Addresses []struct {
				Address string `json:"address"`
			} `json:"addresses"`
			KeepSeconds int `json:"keepSeconds"`
		}
		url := fmt.Sprintf("http://%s/v1/addresses?availabilityZone=%s&region=%s", entry, c.place.Zone, c.place.Region)
		if err := c.load.cluster.get(url, &list); err != nil || len(list.Addresses) == 0 {
			continue
		}
		c.addresses = nil
		for _, found := range list.Addresses {
			c.addresses = append(c.addresses, found.Address)
		}
		c.until = time.Now().Add(time.Duration(list.KeepSeconds) * time.Second)
		return c.addresses[0]
	}
	return ""
}

// failed moves on to the next address.
func (c *caller) failed() {
	if len(c.addresses) > 1 {
		c.addresses = append(c.addresses[1:], c.addresses[0])
	} else {
		c.until = time.Time{}
	}
}

func (l *load) entryAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for _, entry := range l.cluster.entries {
		addresses = append(addresses, entry.instance.CallersAddress)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

func (l *load) count(add func(t *tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.tally)
}

func (l *load) draftLoop(ctx context.Context, place Location, workspace string) {
	c := &caller{load: l, place: place}
	for ctx.Err() == nil {
		if address := c.address(); address != "" && !l.draft(address, workspace) {
			c.failed()
		}
		concurrency.Sleep(ctx, callerPause)
	}
}

// draft asks for one draft and checks it token by token. It reports false if
// the entry could not be reached.
func (l *load) draft(address, workspace string) bool {
	id, prompt := uuid.NewString(), "rail for "+uuid.NewString()
	body, _ := json.Marshal(map[string]any{
		"model": "draft", "stream": true, "max_tokens": draftTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	response, err := l.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + address + "/v1/chat/completions", Body: body,
		Headers: map[string]string{outcome.RequestIDHeader: id, outcome.WorkspaceHeader: workspace, "Content-Type": "application/json"},
	})
	if err != nil {
		l.count(func(t *tally) { t.connectErrors++ })
		return false
	}
	defer response.Close()
	if response.Status() != 200 {
		l.countRefusal(outcome.Outcome(response.Header(outcome.Header)))
		return true
	}
	return l.readDraft(response, id, prompt)
}

func (l *load) countRefusal(what outcome.Outcome) {
	l.count(func(t *tally) {
		if what == outcome.NotRun {
			t.draftsNotRun++
		} else {
			t.draftsUnknown++
		}
	})
}

// readDraft checks a stream from outside, by its text alone.
func (l *load) readDraft(response *upstream.Response, id, prompt string) bool {
	checker := &streamcheck.Checker{RequestID: id, Set: response.Header(outcome.WeightSetHeader)}
	var text strings.Builder
	for {
		line, err := response.Line()
		if strings.HasPrefix(string(line), "event: error") {
			l.count(func(t *tally) { t.draftsUnknown++ })
			return true
		}
		if checkErr := checker.CheckLine(line); checkErr != nil {
			l.count(func(t *tally) { t.crossed++ })
			return true
		}
		text.WriteString(contentOf(line))
		if checker.Ended() {
			break
		}
		if err != nil {
			l.countCut(err)
			return false
		}
	}
	set, err := weights.ParseDigest(checker.Set)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || text.String() != expected(l.contents[set], prompt) {
		l.tally.mixed++
		return true
	}
	l.tally.draftsWhole++
	return true
}

// countCut counts a stream without an end marker. A broken connection is an
// explicit error for the caller; a regular end is not.
func (l *load) countCut(err error) {
	l.count(func(t *tally) {
		if err.Error() == "EOF" {
			t.silentlyCut++
		} else {
			t.connectErrors++
		}
	})
}

func contentOf(line []byte) string {
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

// expected is the whole text that weights with the content write.
func expected(content weights.Digest, prompt string) string {
	var text strings.Builder
	for index := range draftTokens {
		text.WriteString(fakes.Token(content, prompt, index) + " ")
	}
	return text.String()
}

func (l *load) bookLoop(ctx context.Context, place Location, workspace string) {
	c := &caller{load: l, place: place}
	for ctx.Err() == nil {
		l.book(ctx, c, workspace)
		concurrency.Sleep(ctx, bookingPause)
	}
}

// bookingTries is how often a caller repeats a booking with the same key.
const bookingTries = 4

// book makes one booking and repeats it with the same key, at another entry,
// until it has a whole answer.
func (l *load) book(ctx context.Context, c *caller, workspace string) {
	key := uuid.NewString()
	for range bookingTries {
		address := c.address()
		if address == "" {
			continue
		}
		what := l.bookOnce(address, key, workspace)
		l.mu.Lock()
		l.answers[key] = append(l.answers[key], what)
		l.mu.Unlock()
		if what == outcome.Done {
			l.count(func(t *tally) { t.bookingsDone++ })
			return
		}
		c.failed()
		concurrency.Sleep(ctx, bookingPause)
	}
	l.count(func(t *tally) {
		if last := l.answers[key]; len(last) > 0 && last[len(last)-1] == outcome.Unknown {
			t.bookingUnsure++
		} else {
			t.bookingNotRun++
		}
	})
}

func (l *load) bookOnce(address, key, workspace string) outcome.Outcome {
	response, err := l.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + address + "/services/" + l.site.Service + "/book", Body: []byte(`{"rail":1}`),
		Headers: map[string]string{outcome.IdempotencyKeyHeader: key, outcome.WorkspaceHeader: workspace, "Content-Type": "application/json"},
	})
	if err != nil {
		return outcome.Unknown
	}
	defer response.Close()
	if _, err := response.Body(); err != nil {
		return outcome.Unknown
	}
	return outcome.Outcome(response.Header(outcome.Header))
}
