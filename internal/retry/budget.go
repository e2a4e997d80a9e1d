// Package retry limits the load that retries add. It does no I/O.
package retry

import "sync"

const (
	percent = 100
	// maxCredit is the initial credit and its upper bound: the number of retries
	// that a process may make in a burst after an idle period.
	maxCredit = 10
)

// Budget limits retries to a percentage of the first attempts, so that a failing
// availability zone cannot multiply the load on the others. It is safe for
// concurrent use.
type Budget struct {
	// Percent is the number of retries allowed per hundred first attempts.
	Percent int

	mu          sync.Mutex
	initialized bool
	credit      float64
}

// RecordAttempt records a first attempt, which adds a fraction of a retry to the
// credit.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.credit = min(maxCredit, b.credit+float64(b.Percent)/percent)
}

// AllowRetry reports whether a retry is allowed and, if so, deducts it from the
// credit.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Credit returns the number of retries that are currently allowed.
func (b *Budget) Credit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	return b.credit
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.credit = maxCredit
	}
}
