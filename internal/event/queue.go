package event

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosaward/mimosaward/internal/boundedqueue"
)

const (
	// queueLength bounds the records that wait to be written.
	queueLength = 4096
	// eventRate and eventBurst bound how often one event is written: several times what
	// a process at the planned size does a second. Beyond it records are counted.
	eventRate  = 200
	eventBurst = 400
	// summaryInterval is how often the counts of records that were not written are.
	summaryInterval = time.Second
)

// record is one record on its way to the output.
type record struct {
	event  Event
	fields Fields
	at     time.Time
}

// queue is the bounded queue between those who log and the output. Logging never waits
// for the output.
type queue struct {
	records *boundedqueue.Ring[record]

	mu sync.Mutex
	// limits bounds each event by its number.
	limits map[int]*rate.Limiter
	// summed counts the records beyond the limits, dropped those that the full queue
	// refused.
	summed  map[int]int
	dropped int
}

// Queued returns a logger that writes the same records through a bounded queue. Run
// must be called.
func (l *Logger) Queued() *Logger {
	return &Logger{entry: l.entry, queue: &queue{
		records: boundedqueue.New[record](queueLength), limits: map[int]*rate.Limiter{}, summed: map[int]int{},
	}}
}

// Run writes queued records until ctx ends, and then those that are left.
func (l *Logger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		turn, cancel := context.WithTimeout(ctx, summaryInterval)
		for {
			next, err := l.queue.records.Take(turn)
			if err != nil {
				break
			}
			l.write(next)
		}
		cancel()
		l.summarize()
	}
	for next, left := l.queue.records.TryTake(); left; next, left = l.queue.records.TryTake() {
		l.write(next)
	}
	l.summarize()
}

// offer queues a record, or counts it.
func (q *queue) offer(next record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := q.limits[next.event.number]
	if limit == nil {
		limit = rate.NewLimiter(eventRate, eventBurst)
		q.limits[next.event.number] = limit
	}
	switch {
	case !limit.AllowN(next.at, 1):
		q.summed[next.event.number]++
	case !q.records.Offer(next):
		q.dropped++
	}
}

// summarize writes how many records were not written.
func (l *Logger) summarize() {
	q := l.queue
	q.mu.Lock()
	summed, dropped := q.summed, q.dropped
	q.summed, q.dropped = map[int]int{}, 0
	q.mu.Unlock()
	now := time.Now()
	for number, count := range summed {
		l.write(record{RecordsSuppressed, Fields{"of": number, "count": count}, now})
	}
	if dropped > 0 {
		l.write(record{RecordsDropped, Fields{"count": dropped}, now})
	}
}
