package lifecycle

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// call is what a caller asks for and how it behaves.
type call struct {
	id   string
	path string
	key  string
	// idempotent is true if the call may run more than once.
	idempotent bool
	// optional is true if some desired states refuse the call.
	optional bool
	budget   time.Duration
	// body is sent in pieces with a pause after each, in chunks or with its length.
	body       []byte
	pieces     int
	piecePause time.Duration
	chunked    bool
	// processing and responseBytes select the response of a plain call, tokens that of a
	// stream.
	processing    time.Duration
	responseBytes int
	tokens        int
	// readPause is the pause after each part of the response that the caller reads.
	readPause time.Duration
	// leaveAfter is the time after which the caller closes the connection; 0 means never.
	leaveAfter time.Duration
}

// stream reports whether the response is a stream of events.
func (c *call) stream() bool { return c.tokens > 0 }

const (
	megabyte = 1 << 20
	// readSize is the size of the parts that a slow reader reads.
	readSize = 256 << 10
)

// between returns a random duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// newQuickCall returns a call that takes a few milliseconds.
func newQuickCall(random *rand.Rand, id string) *call {
	c := &call{
		id: id, key: stableKey, budget: 4 * time.Second, pieces: 1, processing: between(random, 0, 50*time.Millisecond),
		responseBytes: 20 + random.IntN(2000), body: []byte("body of " + id), chunked: random.IntN(4) == 0,
	}
	switch random.IntN(8) {
	case 0:
		c.path, c.idempotent = "/status/now", true
	case 1:
		c.path, c.key = "/open/list", ""
	case 2:
		c.path, c.optional = "/trial/item", true
	default:
		c.path = "/book/seat"
	}
	return c
}

// newCall returns a call of a random shape.
func newCall(random *rand.Rand, id string) *call {
	c := newQuickCall(random, id)
	switch random.IntN(10) {
	case 0, 1:
		c.makeStream(20 + random.IntN(40))
	case 2:
		c.makeStream(200 + random.IntN(250))
	case 3:
		c.processing = between(random, 500*time.Millisecond, 3*time.Second)
	case 4:
		c.responseBytes = 6*megabyte + random.IntN(megabyte)
		c.readPause = between(random, 10*time.Millisecond, 60*time.Millisecond)
	case 5:
		c.body = bytes.Repeat([]byte(id+"\n"), (200<<10+random.IntN(megabyte))/len(id))
		c.pieces, c.piecePause = 2+random.IntN(8), between(random, 10*time.Millisecond, 150*time.Millisecond)
	}
	if random.IntN(12) == 0 {
		c.leaveAfter = between(random, time.Millisecond, 800*time.Millisecond)
	}
	return c
}

func (c *call) makeStream(tokens int) {
	c.path, c.key, c.idempotent, c.optional, c.responseBytes, c.processing = "/draft/new", stableKey, false, false, 0, 0
	c.tokens, c.budget = tokens, 7*time.Second
}

// encode returns the pieces of the request as they are sent.
func (c *call) encode() [][]byte {
	var header strings.Builder
	fmt.Fprintf(&header, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		c.path, callersHost, platformtest.HeaderAttemptID, c.id, platformtest.HeaderDeadline, c.budget.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&header, "%s: %s\r\n", platformtest.HeaderAPIKey, c.key)
	}
	if c.stream() {
		fmt.Fprintf(&header, "%s: %s\r\n%s: 100,%d\r\n%s: aa:10,%s:90\r\n",
			platformtest.HeaderModel, modelName, platformtest.HeaderTokenUsage, c.tokens, platformtest.HeaderPrefixHash, c.id)
	} else {
		fmt.Fprintf(&header, "%s: %d\r\n%s: %d\r\n", platformtest.HeaderProcessingMS, c.processing.Milliseconds(), platformtest.HeaderResponseBytes, c.responseBytes)
	}
	if c.chunked {
		header.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&header, "Content-Length: %d\r\n\r\n", len(c.body))
	}
	pieces := [][]byte{[]byte(header.String())}
	for index := range c.pieces {
		part := c.body[len(c.body)*index/c.pieces : len(c.body)*(index+1)/c.pieces]
		if c.chunked && len(part) > 0 {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		pieces = append(pieces, part)
	}
	if c.chunked {
		pieces[len(pieces)-1] = append(pieces[len(pieces)-1], "0\r\n\r\n"...)
	}
	if c.pieces == 1 {
		return [][]byte{append(pieces[0], pieces[1]...)}
	}
	return pieces
}

// checkBody returns what is wrong about the complete body of a successful response.
func (c *call) checkBody(body string) string {
	if !c.stream() {
		if body != platformtest.LongResponse(c.id, c.responseBytes) {
			return fmt.Sprintf("body of %d bytes is not that of the call, which has %d", len(body), c.responseBytes)
		}
		return ""
	}
	total := 0
	for index, text := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		id, tokens := 0, 0
		if _, err := fmt.Sscanf(text, "id: %d\ndata: %d tokens", &id, &tokens); err != nil || id != index+1 {
			return fmt.Sprintf("event %d is %q", index+1, text)
		}
		total += tokens
	}
	if total != c.tokens {
		return fmt.Sprintf("stream has %d tokens, want %d", total, c.tokens)
	}
	return ""
}
