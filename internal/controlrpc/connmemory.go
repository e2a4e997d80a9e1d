package controlrpc

import (
	"sync"

	"github.com/mimosaward/mimosaward/internal/membudget"
)

// connMemory is the memory that the calls of a connection take: the buffer of the decoder, which
// it keeps, and the messages of the calls in progress.
type connMemory struct {
	user  *membudget.User
	evict func()

	mu sync.Mutex
	// buffer is the size of the largest message so far, calls the sum of those of the calls in
	// progress, and reading that of the call that is being read.
	buffer  int
	calls   int
	reading int
}

// announce reserves memory for the next message.
func (m *connMemory) announce(length int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.buffer = max(m.buffer, length)
	m.calls += length
	m.reading += length
	if err := m.user.Resize(m.buffer + m.calls); err != nil {
		return err
	}
	return m.user.AwaitCaller(m.evict)
}

// progress records that a part of a message has arrived.
func (m *connMemory) progress() {
	// If the memory was given up, the next read fails.
	_ = m.user.AwaitCaller(m.evict)
}

// callBytes is what a call in progress takes besides its message: its goroutine and its reply.
const callBytes = 8 << 10

// begin returns the memory of the call that was just read, which end releases.
func (m *connMemory) begin() (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := m.reading + callBytes
	m.calls += callBytes
	m.reading = 0
	return size, m.user.Resize(m.buffer + m.calls)
}

// end releases the memory of a call.
func (m *connMemory) end(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls -= size
	// If the memory was given up, the next read fails.
	_ = m.user.Resize(m.buffer + m.calls)
}
