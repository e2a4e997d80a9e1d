// Package retry bounds how much load retries add. It does no I/O.
package retry

import "sync"

const (
	percent = 100
	// maxCredit is the number of retries that a quiet process may make at once.
	maxCredit = 10
)

// Budget allows a share of first attempts to be retried, so that a failing
// availability zone cannot multiply the load of the others. It is safe for
// concurrent use.
type Budget struct {
	// Percent is the number of retries for each hundred first attempts.
	Percent int

	mu          sync.Mutex
	initialized bool
	credit      float64
}

// RecordAttempt records a first attempt, which earns a part of a retry.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.credit = min(maxCredit, b.credit+float64(b.Percent)/percent)
}

// AllowRetry reports whether a retry is allowed, and uses it up.
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

// Credit returns the number of retries that are allowed now.
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
