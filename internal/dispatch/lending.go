package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// lendDuration is how long an endpoint is lent to one gateway: the time between two
	// digests to gateways of other regions.
	lendDuration = 200 * time.Millisecond
	// maxLendAge is how long a gateway that borrows goes by the owner's word: several
	// digests, since one may be late.
	maxLendAge = 500 * time.Millisecond
)

// lending says to which other gateway each owned endpoint is lent. The free places of an
// endpoint become known to all gateways at the same time; if all could use them, all that
// have waiting requests would send there at once.
type lending struct {
	expiresAt    time.Time
	nextBorrower int
	lentTo       map[string]string
}

// renew lends the owned endpoints anew if their time is over, in turn to the gateways
// whose requests wait, or to all if none wait.
func (l *lending) renew(now time.Time, owned []string, peers []peering.Peer, service string) {
	if now.Before(l.expiresAt) {
		return
	}
	l.expiresAt, l.lentTo = now.Add(lendDuration), make(map[string]string, len(owned))
	borrowers := peersWithQueue(peers, service)
	if len(borrowers) == 0 {
		return
	}
	for _, endpoint := range owned {
		l.lentTo[endpoint] = borrowers[l.nextBorrower%len(borrowers)]
		l.nextBorrower++
	}
}

// peersWithQueue returns the gateways whose requests for the service wait, or all of them
// if none wait.
func peersWithQueue(peers []peering.Peer, service string) []string {
	var all, queueing []string
	for _, peer := range peers {
		name := peer.Digest.Member.Name
		all = append(all, name)
		for _, demand := range peer.Digest.Demands {
			if demand.Service == service && demand.Waiting > 0 {
				queueing = append(queueing, name)
			}
		}
	}
	if len(queueing) > 0 {
		return queueing
	}
	return all
}
