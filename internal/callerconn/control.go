package callerconn

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/membudget"
)

// messageTime is the time in which a call from another process must arrive. The largest one takes
// about half of it on the link of the smallest instance.
const messageTime = 10 * time.Second

// NewControlLimiter returns a limiter for the connections of other processes of the system, which
// keep them, and which limit the time of responses themselves.
func NewControlLimiter(maxConns int, budget *membudget.Budget, onLimit func(limit Limit, remote string)) *Limiter {
	return &Limiter{
		Max: maxConns, Budget: budget, Bytes: ControlBytes, OnLimit: onLimit,
		HeaderTime: func() time.Duration { return messageTime }, IdleTime: func() time.Duration { return 0 },
	}
}
