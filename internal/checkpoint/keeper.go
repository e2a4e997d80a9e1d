package checkpoint

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/quarantine"
	"github.com/mimosaward/mimosaward/internal/stopwatch"
	"github.com/mimosaward/mimosaward/internal/timeofday"
)

const (
	// WriteInterval is how often the record is written: how much earlier than in fact a version may
	// be taken to have been named while no gateway ran.
	WriteInterval = time.Second
	// newsInterval is the minimum time between two writes because of news.
	newsInterval = 100 * time.Millisecond
	// CheckInterval is how often it is checked whether a write is due, and whether the process was
	// paused.
	CheckInterval = 200 * time.Millisecond
	// minPause is the time without a check that counts as a pause of the process.
	minPause = time.Second
	// promptNotice is the time within which a change of an object is usually noticed.
	promptNotice = 500 * time.Millisecond
	// unknownAge is the age of an object that is older than all marks.
	unknownAge = 24 * time.Hour
	// takeoverDelay and takeoverRankDelay are the time without a write, and its increase per rank,
	// after which a gateway writes that is not the first one.
	takeoverDelay     = 4 * WriteInterval
	takeoverRankDelay = time.Second
	// spreadTime is the time after which what one gateway knows is known to all.
	spreadTime = time.Second
	// minReadTimeout limits the first attempt to read the record. The limit doubles with each
	// further one, up to maxReadTimeout.
	minReadTimeout = 500 * time.Millisecond
	maxReadTimeout = 3 * time.Second
	// retryDelay is the delay after a failed call. It doubles with each one in a row, up to
	// maxRetryDelay.
	retryDelay    = 300 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Keeper reads the record at the start of a gateway, and writes it while it is this gateway's turn.
// Set the exported fields before the first call. It is safe for concurrent use.
type Keeper struct {
	// Get, Create and Replace are the calls to the object store.
	Get     func(ctx context.Context) (informer.Object, error)
	Create  func(ctx context.Context, record Record) (informer.Object, error)
	Replace func(ctx context.Context, revision int64, record Record) (informer.Object, error)
	// Collect returns what this gateway knows about crashes, and Merge adds what was recorded.
	Collect func(now time.Time) quarantine.Digest
	Merge   func(digest quarantine.Digest, now time.Time)
	// News returns a channel that is closed when Collect returns something new.
	News func() <-chan struct{}
	// Rank is the number of gateways that write rather than this one. OthersWroteAgo returns the
	// time since another one wrote, false if none is known to have.
	Rank           func() int
	OthersWroteAgo func() (time.Duration, bool)
	// Periodic reports whether the record is also written without news, and Era returns the era of the
	// object store.
	Periodic func() bool
	Era      func() int64
	// OnRestored is called once the record was read.
	OnRestored func()
	Clock      *timeofday.Clock
	Log        *event.Logger

	mu       sync.Mutex
	restored bool
	// restoredAt is when the record was read, and found the marks in it; none if there was no
	// record.
	restoredAt time.Time
	found      []datedMark
	// object is the last known state of the object, without a revision if there is none.
	object informer.Position
	marks  []Mark
	// wroteAt is the time of the last write of this gateway, otherWroteAt that of the last conflict
	// with another one.
	wroteAt, otherWroteAt time.Time
	// checked measures the time since the last check, and pause is the last one in which there was
	// none for long.
	checked stopwatch.Stopwatch
	pause   pause
}

// pause is a time in which the process did not run.
type pause struct {
	from, to time.Time
}

// datedMark is a mark whose time is one of this process.
type datedMark struct {
	revision int64
	at       time.Time
}

// Run reads the record and then keeps it up to date until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	k.Restore(ctx)
	var newsAt time.Time
	failures := 0
	for news := k.News(); ctx.Err() == nil; {
		if k.await(ctx, news) {
			news, newsAt = k.News(), earliest(newsAt, time.Now())
		}
		switch due, known := k.due(newsAt, time.Now()); {
		case known:
			newsAt = time.Time{}
		case due:
			written, err := k.write(ctx)
			failures = k.recordResult(ctx, failures, err)
			if written {
				newsAt = time.Time{}
			}
		}
	}
}

// recordResult waits after a failed call, logs the first one in a row, and returns their number.
func (k *Keeper) recordResult(ctx context.Context, failures int, err error) int {
	if err == nil {
		return 0
	}
	if failures == 0 {
		k.Log.Emit(event.StoreUnreachable, event.Fields{"kind": Kind, "error": err.Error()})
	}
	concurrency.Sleep(ctx, min(retryDelay<<min(failures, 8), maxRetryDelay))
	return failures + 1
}

// earliest returns the earlier time that is not zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// await waits for news or the next check, and reports whether there are news.
func (k *Keeper) await(ctx context.Context, news <-chan struct{}) bool {
	timer := time.NewTimer(CheckInterval)
	defer timer.Stop()
	select {
	case <-news:
		concurrency.Sleep(ctx, newsInterval)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// due reports whether this gateway writes now. newsAt is the time of the first news that this gateway
// has not written, zero if there are none; known reports whether another one has recorded them.
func (k *Keeper) due(newsAt, now time.Time) (due, known bool) {
	rank, periodic, news := k.Rank(), k.Periodic(), !newsAt.IsZero()
	k.mu.Lock()
	own, last, object := k.wroteAt, latest(latest(k.wroteAt, k.otherWroteAt), k.restoredAt), k.object
	k.mu.Unlock()
	if rank == 0 {
		return news || object.Revision == 0 || k.Era() > object.Era || (periodic && now.Sub(own) >= WriteInterval), false
	}
	if ago, wrote := k.OthersWroteAgo(); wrote {
		last = latest(last, now.Add(-ago))
	}
	if news && last.Sub(newsAt) >= spreadTime {
		return false, true
	}
	return (news || periodic) && now.Sub(latest(last, newsAt)) >= takeoverDelay+time.Duration(rank)*takeoverRankDelay, false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Check notices steps of the clock and pauses of the process. It must be called every CheckInterval.
func (k *Keeper) Check(context.Context) {
	k.Clock.Observe()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if paused := k.checked.Elapsed(); paused >= minPause {
		k.pause = pause{from: now.Add(-paused), to: now}
	}
	k.checked = stopwatch.Start(stopwatch.BootTime)
}

// NotWrittenBefore returns a time before which an object with a revision was not written, as the
// marks show. initial is true if the object was in the first copy that this process received. It
// returns false if the object was written right before it was noticed, as far as this gateway can
// tell.
func (k *Keeper) NotWrittenBefore(revision int64, initial bool) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case initial && len(k.found) > 0:
		return bound(k.found, revision, now), true
	case initial:
		// No gateway has run before, or the store was lost.
		return time.Time{}, false
	case now.Sub(k.wroteAt) < takeoverDelay && k.noticedLate(revision, now):
		return bound(k.date(k.marks, now), revision, now), true
	}
	if paused := k.checked.Elapsed(); paused >= minPause {
		return now.Add(-paused), true
	}
	return k.pause.from, now.Sub(k.pause.to) < minPause
}

// noticedLate reports whether this gateway wrote the record after an object with a revision, a while
// ago. The caller must hold mu.
func (k *Keeper) noticedLate(revision int64, now time.Time) bool {
	return slices.ContainsFunc(k.date(k.marks, now), func(mark datedMark) bool {
		return mark.revision > revision && now.Sub(mark.at) > promptNotice
	})
}

// bound returns the time of the last mark below a revision. An object that is older than all marks
// is as old as can be.
func bound(marks []datedMark, revision int64, now time.Time) time.Time {
	for _, mark := range slices.Backward(marks) {
		if mark.revision < revision {
			return mark.at
		}
	}
	return now.Add(-unknownAge)
}

// WroteAgo returns the time since this gateway wrote the record, false if it never did.
func (k *Keeper) WroteAgo() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.wroteAt), !k.wroteAt.IsZero()
}

// Restored reports whether the record was read, or does not exist.
func (k *Keeper) Restored() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.restored
}

// Restore reads the record that earlier gateways left.
func (k *Keeper) Restore(ctx context.Context) {
	failures := 0
	for timeout := minReadTimeout; ctx.Err() == nil; timeout = min(2*timeout, maxReadTimeout) {
		object, err := k.get(ctx, timeout)
		if err != nil && !errors.Is(err, informer.ErrNotFound) {
			// The gateway serves nothing until then, so the delay grows only once.
			failures = min(k.recordResult(ctx, failures, err), 1)
			continue
		}
		fields := event.Fields{"exists": err == nil}
		var record Record
		if err == nil {
			record = k.adopt(object)
			fields["crashes"], fields["rejections"] = len(record.Crashes), len(record.Rejections)
			fields["ageMs"] = k.Clock.Now().Sub(time.UnixMilli(record.WrittenUnixMilli)).Milliseconds()
		}
		k.Log.Emit(event.CheckpointRead, fields)
		k.mu.Lock()
		k.restored, k.restoredAt = true, time.Now()
		k.found = k.date(k.marks, k.restoredAt)
		k.mu.Unlock()
		k.OnRestored()
		return
	}
}

// get reads the object within a time: a store that was silent may never answer the call.
func (k *Keeper) get(ctx context.Context, timeout time.Duration) (informer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return k.Get(ctx)
}

// date converts the times of marks. The caller must hold mu.
func (k *Keeper) date(marks []Mark, now time.Time) []datedMark {
	var dated []datedMark
	for _, mark := range marks {
		age := max(0, k.Clock.Now().Sub(time.UnixMilli(mark.UnixMilli)))
		dated = append(dated, datedMark{revision: mark.Revision, at: now.Add(-age)})
	}
	return dated
}

// adopt takes over the record in an object. If it can't be decoded, another writer left it, and
// the next write replaces it.
func (k *Keeper) adopt(object informer.Object) Record {
	record, err := decode(object.Value)
	if err != nil {
		k.Log.Emit(event.ObjectUnreadable, event.Fields{"object": Kind + "/" + Name, "revision": object.Revision, "error": err.Error()})
	} else {
		k.Merge(record.digest(k.Clock.Now()), time.Now())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.object = informer.Position{Era: object.Era, Revision: object.Revision}
	k.marks = nil
	if err == nil {
		k.marks = slices.Concat(record.Marks, []Mark{{Revision: object.Revision, UnixMilli: record.WrittenUnixMilli}})
	}
	return record
}

// write writes the record and reports whether it did. Otherwise another gateway has changed the
// object, or the store has lost it, which the next write takes into account.
func (k *Keeper) write(ctx context.Context) (bool, error) {
	k.mu.Lock()
	known, marks := k.object, slices.Clone(k.marks)
	k.mu.Unlock()
	record := newRecord(k.Collect(time.Now()), marks, k.Clock.Now())
	var written informer.Object
	var err error
	if known.Revision == 0 {
		written, err = k.Create(ctx, record)
	} else {
		written, err = k.Replace(ctx, known.Revision, record)
	}
	switch {
	case errors.Is(err, informer.ErrConflict):
		k.adopt(written)
	case err != nil && !errors.Is(err, informer.ErrNotFound):
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case errors.Is(err, informer.ErrConflict):
		k.otherWroteAt = time.Now()
		return false, nil
	case err != nil:
		k.object, k.marks = informer.Position{Era: known.Era}, nil
		return false, nil
	case written.Era != known.Era:
		k.marks = nil
	}
	k.object = informer.Position{Era: written.Era, Revision: written.Revision}
	k.marks = append(k.marks, Mark{Revision: written.Revision, UnixMilli: record.WrittenUnixMilli})
	k.marks = k.marks[max(0, len(k.marks)-maxMarks):]
	k.wroteAt = time.Now()
	return true, nil
}
