package gateway

import (
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/dispatch"
)

// States of a pendingAttempt.
const (
	statePending int32 = iota
	stateSettled
	stateWithdrawn
)

// pendingAttempt is an attempt without a sign that the endpoint has begun to run it. A silent
// endpoint may begin long after the request was sent, so that the permission to run, which is
// checked before sending, must hold until then. It leaves its first state once, either settled
// or withdrawn. It is safe for concurrent use.
type pendingAttempt struct {
	conn   *connpool.Conn
	grant  *dispatch.Grant
	model  string
	sentAt time.Time
	// replaceable is true if another endpoint may run the request instead, and if an endpoint that
	// is not silent shows soon that it has begun it.
	replaceable bool

	state atomic.Int32
	// arrived is true once the response header shows that the endpoint has read the request.
	arrived atomic.Bool
}

// settle records that the endpoint has begun the request or that the attempt has ended. It
// returns false if the attempt was withdrawn before.
func (p *pendingAttempt) settle() bool {
	return p.state.CompareAndSwap(statePending, stateSettled) || p.state.Load() == stateSettled
}

// withdraw resets the connection, so that the endpoint drops what it has not begun. It returns
// false if the attempt is not pending any more; its connection may carry another request then.
func (p *pendingAttempt) withdraw() bool {
	if !p.state.CompareAndSwap(statePending, stateWithdrawn) {
		return false
	}
	p.conn.Abort()
	return true
}

// withdrawn reports whether the attempt was withdrawn.
func (p *pendingAttempt) withdrawn() bool { return p.state.Load() == stateWithdrawn }
