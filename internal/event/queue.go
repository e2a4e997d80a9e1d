package event

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosaward/mimosaward/internal/boundedqueue"
)

const (
	// queueCapacity bounds the records that wait to be written.
	queueCapacity = 4096
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
	// limiters bounds each event by its number.
	limiters map[int]*rate.Limiter
	// suppressed counts the records beyond the limits, dropped those that the full queue
	// refused.
	suppressed  map[int]int
	dropped int
}

// Queued returns a logger that writes the same records through a bounded queue. Run
// must be called.
func (l *Logger) Queued() *Logger {
	return &Logger{entry: l.entry, queue: &queue{
		records: boundedqueue.New[record](queueCapacity), limiters: map[int]*rate.Limiter{}, suppressed: map[int]int{},
	}}
}

// Run writes queued records until ctx ends, and then those that are left.
func (l *Logger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		intervalCtx, cancel := context.WithTimeout(ctx, summaryInterval)
		for {
			rec, err := l.queue.records.Take(intervalCtx)
			if err != nil {
				break
			}
			l.write(rec)
		}
		cancel()
		l.summarize()
	}
	for rec, ok := l.queue.records.TryTake(); ok; rec, ok = l.queue.records.TryTake() {
		l.write(rec)
	}
	l.summarize()
}

// enqueue queues a record, or counts it.
func (q *queue) enqueue(rec record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limiter := q.limiters[rec.event.number]
	if limiter == nil {
		limiter = rate.NewLimiter(eventRate, eventBurst)
		q.limiters[rec.event.number] = limiter
	}
	switch {
	case !limiter.AllowN(rec.at, 1):
		q.suppressed[rec.event.number]++
	case !q.records.Offer(rec):
		q.dropped++
	}
}

// summarize writes how many records were not written.
func (l *Logger) summarize() {
	q := l.queue
	q.mu.Lock()
	suppressed, dropped := q.suppressed, q.dropped
	q.suppressed, q.dropped = map[int]int{}, 0
	q.mu.Unlock()
	now := time.Now()
	for number, count := range suppressed {
		l.write(record{RecordsSuppressed, Fields{"of": number, "count": count}, now})
	}
	if dropped > 0 {
		l.write(record{RecordsDropped, Fields{"count": dropped}, now})
	}
}
