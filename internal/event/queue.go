package event

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mimosaward/mimosaward/internal/boundedqueue"
	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// queueCapacity is the maximum number of queued records.
	queueCapacity = 4096
	// eventRate, in records per second, and eventBurst limit the records of each event.
	// The rate is several times that of a process at the planned size. Records beyond the
	// limit are only counted.
	eventRate  = 200
	eventBurst = 400
	// summaryInterval is how often the counts of suppressed and dropped records are
	// written.
	summaryInterval = time.Second
)

// record is a log record that has not been written yet.
type record struct {
	event  Event
	fields Fields
	at     time.Time
}

// queue is a bounded queue of the records to be written. It keeps Emit from waiting for
// the output.
type queue struct {
	records *boundedqueue.Queue[record]

	mu sync.Mutex
	// limiters holds the rate limiter of each event by its number.
	limiters map[int]*rate.Limiter
	// suppressed counts the records of each event beyond its rate limit, dropped the
	// records rejected because the queue was full.
	suppressed map[int]int
	dropped    int
}

// Queued returns a logger that writes the same records through a bounded queue. The
// caller must call Run.
func (l *Logger) Queued() *Logger {
	return &Logger{entry: l.entry, queue: &queue{
		records: boundedqueue.New[record](queueCapacity), limiters: map[int]*rate.Limiter{}, suppressed: map[int]int{},
	}}
}

// Run writes queued records until ctx is done, and then the remaining ones.
func (l *Logger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		intervalCtx, cancel := context.WithTimeout(ctx, concurrency.UntilTick(summaryInterval))
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

// enqueue queues a record, or counts it if it exceeds the rate limit or the queue is
// full.
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

// summarize writes the counts of suppressed and dropped records and resets them.
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
