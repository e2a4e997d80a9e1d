package p2p

import "time"

// Timing holds the waits and the parallelism of a burst. They follow from how long the
// burst may take.
type Timing struct {
	// Workers is the number of chunks that an instance fetches at a time.
	Workers int
	// MaxWait is how long the preferred source may hold a request.
	MaxWait time.Duration
	// InitialPreferredTimeout is how long a worker waits for its preferred source before it
	// asks the others, as long as it does not know how long a chunk takes.
	InitialPreferredTimeout time.Duration
	// MinPreferredTimeout is the least of such waits later.
	MinPreferredTimeout time.Duration
	// RetryDelay is the pause after a round in which every source failed.
	RetryDelay time.Duration
	// StealInterval is how often a worker whose own stripe is done looks at the
	// others.
	StealInterval time.Duration
	// OrphanRetryDelay is the pause between two rounds of a worker whose preferred
	// source is gone.
	OrphanRetryDelay time.Duration
	// NotWantedGracePeriod is how long after the start of a burst an instance that does not
	// want the set yet counts as one that will.
	NotWantedGracePeriod time.Duration
	// OwnerFallbackDelay is how long a worker waits for a chunk until it turns to its keeper.
	OwnerFallbackDelay time.Duration
	// OriginExclusion is how long the origin is left out after a failure.
	OriginExclusion time.Duration
	// InitialExclusion is how long a source is left out after its first failure; each
	// further one doubles it, up to MaxExclusion.
	InitialExclusion time.Duration
	MaxExclusion     time.Duration
}

// DefaultTiming is for bursts that take minutes.
func DefaultTiming() Timing {
	return Timing{
		Workers: 24, MaxWait: 2 * time.Second, InitialPreferredTimeout: 20 * time.Second, MinPreferredTimeout: 3 * time.Second,
		RetryDelay: 200 * time.Millisecond, StealInterval: 500 * time.Millisecond, OrphanRetryDelay: 300 * time.Millisecond,
		NotWantedGracePeriod: 10 * time.Second, OwnerFallbackDelay: time.Minute,
		OriginExclusion: 2 * time.Second, InitialExclusion: 2 * time.Second, MaxExclusion: 15 * time.Second,
	}
}

// FastTiming is for small sets that must be everywhere within seconds.
func FastTiming() Timing {
	return Timing{
		Workers: 14, MaxWait: 500 * time.Millisecond, InitialPreferredTimeout: time.Second, MinPreferredTimeout: 400 * time.Millisecond,
		RetryDelay: 50 * time.Millisecond, StealInterval: 100 * time.Millisecond, OrphanRetryDelay: 60 * time.Millisecond,
		NotWantedGracePeriod: 3 * time.Second, OwnerFallbackDelay: 1500 * time.Millisecond,
		OriginExclusion: 200 * time.Millisecond, InitialExclusion: 500 * time.Millisecond, MaxExclusion: 4 * time.Second,
	}
}
