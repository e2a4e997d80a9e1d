package lifecycle

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// attempt is a call on a connection, with what the caller saw.
type attempt struct {
	call    *call
	process *process
	// reused is true if the connection had carried another request.
	reused    bool
	startedAt time.Time
	// sentAt is when the last byte was sent; it is zero if the request was not sent whole.
	sentAt  time.Time
	endedAt time.Time
	// left is true if the caller closed the connection.
	left       bool
	status     int
	answeredID string
	signature  string
	// complete is true if the response arrived whole.
	complete bool
	body     string
	err      error
}

// endedOrderly reports whether the gateway closed the connection after it had read all that
// was sent. The operating system resets a connection that is closed with unread bytes.
func (a *attempt) endedOrderly() bool {
	return errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF)
}

// String describes the attempt relative to the first SIGTERM of its process.
func (a *attempt) String() string {
	reference, name := a.process.startedAt, "start"
	if stopAt, stopping := a.process.stopping(); stopping {
		reference, name = stopAt, "SIGTERM"
	}
	sent := "not sent whole"
	if !a.sentAt.IsZero() {
		sent = fmt.Sprintf("sent whole %dms", a.sentAt.Sub(reference).Milliseconds())
	}
	return fmt.Sprintf("%s %s (reused connection: %t) to %s: begun %dms, %s, ended %dms after %s, budget %s, status %d, complete %t, %d bytes of body, error %v",
		a.call.path, a.call.id, a.reused, a.process.output, a.startedAt.Sub(reference).Milliseconds(), sent, a.endedAt.Sub(reference).Milliseconds(), name,
		a.call.budget, a.status, a.complete, len(a.body), a.err)
}
