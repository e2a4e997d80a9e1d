package loader

import (
	"cmp"
	"time"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membudget"
)

const (
	// budgetDivisor is the divisor of the process's memory that gives the memory for connections
	// and calls of other processes. Chunks have chunkMemoryLimit.
	budgetDivisor = 6
	// defaultMemoryBytes is the process's memory if the settings name none.
	defaultMemoryBytes = int64(256 * bytesize.MiB)
	// connectionShare is the divisor of the number of file descriptors that gives the connections
	// at each address. The others are for the engine, other instances and the log.
	connectionShare = 4
	// defaultDescriptors applies if the settings name no number.
	defaultDescriptors = 8192
	// peerHeaderTime is the time in which the request of another instance must arrive.
	peerHeaderTime = 5 * time.Second
)

// prepareLimits creates the limits of connections. It is called after the metrics are created.
func (l *Loader) prepareLimits() {
	l.memory = membudget.New(int(cmp.Or(l.Deployment.Resources.MemoryBytes, defaultMemoryBytes) / budgetDivisor))
	l.memory.OnEvict = l.recordEviction
	maxConns := cmp.Or(l.Deployment.Resources.FileDescriptors, defaultDescriptors) / connectionShare
	l.controlLimiter = callerconn.NewControlLimiter(max(1, maxConns), l.memory, func(limit callerconn.Limit, remote string) { l.recordLimit("control", limit, remote) })
	l.chunkLimiter = &callerconn.Limiter{
		Max: max(1, maxConns), Budget: l.memory, Bytes: callerconn.HTTPBytes,
		HeaderTime: func() time.Duration { return peerHeaderTime }, IdleTime: func() time.Duration { return peerIdleTimeout },
		Body: callerconn.BodyRateOf(l.Deployment.Resources.BodyTime), Unread: callerconn.UnreadRateOf(l.Deployment.Resources.UnreadTime),
		OnLimit: func(limit callerconn.Limit, remote string) { l.recordLimit("chunks", limit, remote) },
	}
}

// recordLimit counts and logs a limit that a client has reached.
func (l *Loader) recordLimit(address string, limit callerconn.Limit, remote string) {
	l.metrics.limits.WithLabelValues(address, string(limit)).Inc()
	l.Log.Emit(event.ClientLimited, event.Fields{"address": address, "limit": string(limit), "remote": remote})
}

// recordEviction counts and logs that a user of the memory was given up.
func (l *Loader) recordEviction(class membudget.Class, bytes int) {
	l.metrics.evictions.WithLabelValues(class.String()).Inc()
	l.Log.Emit(event.MemoryGivenUp, event.Fields{"class": class.String(), "bytes": bytes})
}
