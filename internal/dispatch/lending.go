package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// lendFor is how long an endpoint is lent to one gateway: the time between two
	// digests to gateways of other regions.
	lendFor = 200 * time.Millisecond
	// lentMaxAge is how long a gateway that borrows goes by the owner's word: several
	// digests, since one may be late.
	lentMaxAge = 500 * time.Millisecond
)

// lending says to which other gateway each owned endpoint is lent. The free places of an
// endpoint become known to all gateways at the same time; if all could use them, all that
// have waiting requests would send there at once.
type lending struct {
	until time.Time
	turn  int
	lent  map[string]string
}

// renew lends the owned endpoints anew if their time is over, in turn to the gateways
// whose requests wait, or to all if none wait.
func (l *lending) renew(now time.Time, owned []string, peers []peering.Peer, service string) {
	if now.Before(l.until) {
		return
	}
	l.until, l.lent = now.Add(lendFor), make(map[string]string, len(owned))
	borrowers := waitingPeers(peers, service)
	if len(borrowers) == 0 {
		return
	}
	for _, endpoint := range owned {
		l.lent[endpoint] = borrowers[l.turn%len(borrowers)]
		l.turn++
	}
}

// waitingPeers returns the gateways whose requests for the service wait, or all of them
// if none wait.
func waitingPeers(peers []peering.Peer, service string) []string {
	var all, waiting []string
	for _, peer := range peers {
		name := peer.Digest.Member.Name
		all = append(all, name)
		for _, demand := range peer.Digest.Demands {
			if demand.Service == service && demand.Waiting > 0 {
				waiting = append(waiting, name)
			}
		}
	}
	if len(waiting) > 0 {
		return waiting
	}
	return all
}
