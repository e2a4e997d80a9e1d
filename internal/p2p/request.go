package p2p

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// Request asks a peer for a chunk or a slice of it.
type Request struct {
	Chunk weights.Digest
	// Offset and Length select a slice; Length 0 means the whole chunk.
	Offset int
	Length int
	// MaxWait is how long the peer may wait for the chunk to arrive.
	MaxWait time.Duration
	// FetchAsRoot asks the peer to get the chunk from outside its region, since
	// the instances before it in the succession are gone.
	FetchAsRoot bool
	// FetchAsOwner asks the peer, the chunk's keeper, to get the chunk from outside its
	// region.
	FetchAsOwner bool
	// BestEffort marks a request of an instance that is not a child of the peer. It
	// is served only while the peer has upload capacity to spare.
	BestEffort bool
}

// Response is what a peer sent. Total is the size of the whole chunk. Waited is
// how long the peer held the request and the instances' own links delayed it.
type Response struct {
	Data   []byte
	Total  int
	Waited time.Duration
	// Release must be called once the data was sent, or sending it failed.
	Release func()
}
