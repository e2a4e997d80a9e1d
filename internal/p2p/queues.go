package p2p

import (
	"slices"
	"sync"
)

// stripeQueues holds, for each stripe, the chunks that no worker has taken yet. It is
// safe for concurrent use.
type stripeQueues struct {
	mu     sync.Mutex
	chunks [][]int
}

func newStripeQueues(stripes int) *stripeQueues {
	return &stripeQueues{chunks: make([][]int, stripes)}
}

// add appends a chunk to a stripe's queue.
func (q *stripeQueues) add(stripe, index int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.chunks[stripe] = append(q.chunks[stripe], index)
}

// next removes and returns the first chunk of the stripe's queue.
func (q *stripeQueues) next(stripe int) (int, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.chunks[stripe]) == 0 {
		return 0, false
	}
	index := q.chunks[stripe][0]
	q.chunks[stripe] = q.chunks[stripe][1:]
	return index, true
}

// steal removes and returns the last chunk of the longest queue if that stripe lags far
// behind the others, for a worker whose own stripe is done. remaining reports whether
// any chunk was queued.
func (q *stripeQueues) steal() (index int, ok, remaining bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lengths := make([]int, 0, len(q.chunks))
	longest := 0
	for stripe, queue := range q.chunks {
		lengths = append(lengths, len(queue))
		if len(queue) > len(q.chunks[longest]) {
			longest = stripe
		}
	}
	slices.Sort(lengths)
	median := lengths[len(lengths)/2]
	queue := q.chunks[longest]
	if len(queue) <= lagFactor*median+lagChunks {
		return 0, false, len(queue) > 0
	}
	q.chunks[longest] = queue[:len(queue)-1]
	return queue[len(queue)-1], true, true
}
