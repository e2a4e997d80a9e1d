package p2p

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// Request is a request to a peer for a chunk or a slice of it.
type Request struct {
	Chunk weights.Digest
	// Offset and Length select a slice; Length 0 means the whole chunk.
	Offset int
	Length int
	// MaxBytes is the maximum size of the response; 0 means that of any response.
	MaxBytes int
	// MaxWait is how long the peer may wait for the chunk to arrive.
	MaxWait time.Duration
	// FetchAsRoot asks the peer to fetch the chunk in place of the stripe's root, since
	// the root candidates before the peer are excluded.
	FetchAsRoot bool
	// FetchAsOwner asks the peer, as the chunk's owner, to fetch the chunk from outside
	// its region.
	FetchAsOwner bool
	// BestEffort marks a request from an instance that is not a child of the peer. It
	// is served only while the peer has spare upload capacity.
	BestEffort bool
}

// Response is a peer's response to a Request. Total is the size of the whole chunk.
// Waited is how long the request waited at the peer and for the links of both
// instances.
type Response struct {
	Data   []byte
	Total  int
	Waited time.Duration
	// Release must be called once the data was sent or sending it failed.
	Release func()
}
