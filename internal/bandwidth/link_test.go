package bandwidth_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const linkRate = 1 << 20

// measureChunkRate sends chunks from several workers for the given duration and
// returns the total rate in bytes per second.
func measureChunkRate(link *bandwidth.Link, workers int, duration time.Duration) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	group := concurrency.NewGroup(ctx)
	sent := make([]int, workers)
	for worker := range workers {
		group.Go(func(ctx context.Context) {
			for link.WaitChunk(ctx, bandwidth.BlockBytes) == nil {
				sent[worker] += bandwidth.BlockBytes
			}
		})
	}
	group.Wait()
	total := 0
	for _, bytes := range sent {
		total += bytes
	}
	return float64(total) / duration.Seconds()
}

func TestChunksSaturateIdleLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &bandwidth.Link{Rate: linkRate}
		if got := measureChunkRate(link, 8, 20*time.Second); got < 0.9*linkRate || got > linkRate {
			t.Errorf("chunks used %.0f bytes per second of an idle link of %d", got, linkRate)
		}
	})
}

// Checks that chunks use the bandwidth that live traffic leaves, and make slow
// progress if live traffic needs more than the whole link.
func TestChunksYieldToLiveTraffic(t *testing.T) {
	cases := []struct{ liveShare, minRate, maxRate float64 }{
		{0.3, 0.55 * linkRate, 0.7 * linkRate},
		{0.6, 0.3 * linkRate, 0.4 * linkRate},
		{1.5, bandwidth.BlockBytes / 2, 2 * bandwidth.BlockBytes},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			const interval = 10 * time.Millisecond
			link := &bandwidth.Link{Rate: linkRate}
			liveTraffic := concurrency.NewGroup(t.Context())
			liveTraffic.Go(func(ctx context.Context) {
				for concurrency.Sleep(ctx, interval) {
					link.RecordLiveTraffic(int(c.liveShare * linkRate * interval.Seconds()))
				}
			})
			got := measureChunkRate(link, 8, 20*time.Second)
			liveTraffic.Stop()
			liveTraffic.Wait()
			if got < c.minRate || got > c.maxRate {
				t.Errorf("with live traffic at %.1f of the link rate, chunks used %.0f bytes per second, want %.0f to %.0f", c.liveShare, got, c.minRate, c.maxRate)
			}
		})
	}
}

// Checks that a slice does not wait for chunks that are queued for the link.
func TestSlicesDoNotWaitForChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &bandwidth.Link{Rate: linkRate}
		ctx, cancel := context.WithCancel(t.Context())
		chunks := concurrency.NewGroup(ctx)
		for range 32 {
			chunks.Go(func(ctx context.Context) {
				for link.WaitChunk(ctx, bandwidth.BlockBytes) == nil {
					continue
				}
			})
		}
		time.Sleep(time.Second)
		start := time.Now()
		if err := link.WaitSlice(ctx, bandwidth.BlockBytes); err != nil || time.Since(start) != 0 {
			t.Errorf("slice waited %s for chunks: %v", time.Since(start), err)
		}
		cancel()
		chunks.Wait()
	})
}
