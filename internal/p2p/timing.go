package p2p

import "time"

// Timing holds the timeouts, intervals and concurrency for fetching a weight set. They
// depend on how long the rollout may take.
type Timing struct {
	// Workers is the number of chunks that an instance fetches concurrently.
	Workers int
	// MaxWait is how long the preferred source may wait for the chunk before it responds.
	MaxWait time.Duration
	// InitialPreferredTimeout is how long a worker waits for its preferred source before
	// it tries the others, as long as no chunk time was measured. It is also the maximum
	// of that timeout later.
	InitialPreferredTimeout time.Duration
	// MinPreferredTimeout is the minimum of that timeout once chunk times were measured.
	MinPreferredTimeout time.Duration
	// RetryDelay is the delay after a round in which every source failed.
	RetryDelay time.Duration
	// StealInterval is the interval at which a worker whose own stripe is done tries to
	// steal a chunk from another stripe.
	StealInterval time.Duration
	// OrphanRetryDelay is the delay between two rounds of a worker whose preferred source
	// is excluded.
	OrphanRetryDelay time.Duration
	// NotWantedGracePeriod is how long after the start of a download a peer that does not
	// want the set is treated as one that will want it.
	NotWantedGracePeriod time.Duration
	// OwnerFallbackDelay is how long a worker waits for a chunk before it requests it from
	// the chunk's owner.
	OwnerFallbackDelay time.Duration
	// OriginExclusion is how long the origin is excluded after a failure.
	OriginExclusion time.Duration
	// InitialExclusion is how long a source is excluded after its first failure. Each
	// further failure doubles the period, up to MaxExclusion.
	InitialExclusion time.Duration
	MaxExclusion     time.Duration
}

// DefaultTiming returns the timing for rollouts that take minutes.
func DefaultTiming() Timing {
	return Timing{
		Workers: 24, MaxWait: 2 * time.Second, InitialPreferredTimeout: 20 * time.Second, MinPreferredTimeout: 3 * time.Second,
		RetryDelay: 200 * time.Millisecond, StealInterval: 500 * time.Millisecond, OrphanRetryDelay: 300 * time.Millisecond,
		NotWantedGracePeriod: 10 * time.Second, OwnerFallbackDelay: time.Minute,
		OriginExclusion: 2 * time.Second, InitialExclusion: 2 * time.Second, MaxExclusion: 15 * time.Second,
	}
}

// FastTiming returns the timing for small sets that must reach all instances within
// seconds.
func FastTiming() Timing {
	return Timing{
		Workers: 14, MaxWait: 500 * time.Millisecond, InitialPreferredTimeout: time.Second, MinPreferredTimeout: 400 * time.Millisecond,
		RetryDelay: 50 * time.Millisecond, StealInterval: 100 * time.Millisecond, OrphanRetryDelay: 60 * time.Millisecond,
		NotWantedGracePeriod: 3 * time.Second, OwnerFallbackDelay: 1500 * time.Millisecond,
		OriginExclusion: 200 * time.Millisecond, InitialExclusion: 500 * time.Millisecond, MaxExclusion: 4 * time.Second,
	}
}
