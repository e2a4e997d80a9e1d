package p2p

import "github.com/cockroachdb/errors"

// Errors that the transport reports about a peer.
var (
	// ErrNotYet means that the peer is alive but lacks the chunk so far.
	ErrNotYet = errors.New("peer does not have the chunk yet")
	// ErrBusy means that the peer has no upload capacity to spare now.
	ErrBusy = errors.New("peer has no upload capacity to spare")
	// ErrNotWanted means that the peer does not want the weight set.
	ErrNotWanted = errors.New("peer does not want the weight set")
	// ErrNotParticipating means that the peer takes no part in the burst, since it has no engine.
	ErrNotParticipating = errors.New("peer takes no part in the burst")
	// ErrUnreachable means that the peer is dead, frozen or cut off.
	ErrUnreachable = errors.New("peer does not answer")
)
