package informer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// verifiedWait is how long the store keeps a watch open for a process that verifies the
	// copies of its group. Only a response shows that the store received the request, so it
	// bounds the time for which changes stay unnoticed after an outage of the store.
	verifiedWait = 1500 * time.Millisecond
	// UnverifiedWait is the same for the other processes, the longest that the store allows.
	UnverifiedWait = 30 * time.Second
	// responseTimeout is how long the response to a watch may take beyond its wait. It allows
	// for a store that takes a hundred times as long as usual.
	responseTimeout = 600 * time.Millisecond
	// reviewInterval is how often a process checks whether it still relies on a pending watch.
	reviewInterval = 100 * time.Millisecond
	// listRepeatInterval is the time without a response after which a list is requested once
	// more. The first request goes on, because a large response may take longer.
	listRepeatInterval = 1500 * time.Millisecond
)

// errAbandoned reports that a pending watch is no longer relied upon.
var errAbandoned = errors.New("the watch is no longer relied upon")

// response is what a call returned.
type response[T any] struct {
	value T
	err   error
}

// begin starts a call whose response the channel receives unless it has one already.
func begin[T any](calls *concurrency.Group, responses chan response[T], call func() (T, error)) {
	calls.GoBrief(func(context.Context) {
		value, err := call()
		select {
		case responses <- response[T]{value, err}:
		default:
		}
	})
}

// verifies reports whether this process verifies the copy for its group.
func (i *Informer) verifies() bool { return i.Verifies == nil || i.Verifies() }

// watch waits for changes after a position. A watch that is not verified is abandoned when another
// process or the ledger shows that it may have missed a change, or when the process has to verify
// the copy itself. After a missed change, watches are verified until the copy has it.
func (i *Informer) watch(ctx context.Context, calls *concurrency.Group, from Position) (Batch, error) {
	verifies, wait := i.verifies(), UnverifiedWait
	switch {
	case verifies && i.Ledger.anchors(i.Kind):
		wait = anchorWait
	case i.missedChange() || verifies && !i.Ledger.covers(i.Kind):
		wait = verifiedWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	responses := make(chan response[Batch], 1)
	begin(calls, responses, func() (Batch, error) { return i.Watch(ctx, i.Kind, from.Revision, wait) })
	for {
		review := time.NewTimer(concurrency.UntilTick(reviewInterval))
		select {
		case received := <-responses:
			review.Stop()
			return received.value, received.err
		case <-ctx.Done():
			review.Stop()
			return Batch{}, errors.Mark(errors.Wrapf(ctx.Err(), "watch %s", i.Kind), ErrUnavailable)
		case <-review.C:
			if wait == UnverifiedWait && (i.Position() != from || i.missedChange() || i.verifies() && (!verifies || !i.Ledger.covers(i.Kind))) {
				return Batch{}, errAbandoned
			}
		}
	}
}

// listPage requests a page of a list, and again while there is no response.
func (i *Informer) listPage(ctx context.Context, calls *concurrency.Group, after string) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan response[Page], 1)
	repeat := time.NewTicker(listRepeatInterval)
	defer repeat.Stop()
	for {
		begin(calls, responses, func() (Page, error) { return i.List(ctx, i.Kind, after) })
		select {
		case received := <-responses:
			return received.value, received.err
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-repeat.C:
		}
	}
}
