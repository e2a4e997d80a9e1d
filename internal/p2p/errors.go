package p2p

import "github.com/cockroachdb/errors"

// Errors of requests to a peer.
var (
	// ErrNotReady means that the peer is alive but does not have the chunk yet.
	ErrNotReady = errors.New("peer does not have the chunk yet")
	// ErrBusy means that the peer currently has no spare upload capacity.
	ErrBusy = errors.New("peer has no spare upload capacity")
	// ErrNotWanted means that the peer does not want the weight set.
	ErrNotWanted = errors.New("peer does not want the weight set")
	// ErrNotParticipating means that the peer does not take part in the rollout, since it
	// has no engine.
	ErrNotParticipating = errors.New("peer does not take part in the rollout")
	// ErrUnreachable means that the peer is dead, frozen or partitioned.
	ErrUnreachable = errors.New("peer does not respond")
)
