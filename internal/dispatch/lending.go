package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// lendDuration is how long an endpoint is lent to one gateway: the interval between
	// digests to gateways in other regions.
	lendDuration = 200 * time.Millisecond
	// maxLendAge is the age of the owner's digest up to which a borrower relies on it.
	// It spans several digests, because one may be late.
	maxLendAge = 500 * time.Millisecond
)

// lending records the gateway to which each owned endpoint is lent. All gateways see
// the free slots of an endpoint at the same time; if all could use them, all gateways with
// queued requests would send requests there at once.
type lending struct {
	expiresAt    time.Time
	nextBorrower int
	lentTo       map[string]string
}

// renew lends the owned endpoints again once the previous lending has expired. It assigns
// them round robin to the gateways with queued requests, or to all gateways if none has
// any.
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

// peersWithQueue returns the gateways with queued requests for the service, or all gateways
// if none has any.
func peersWithQueue(peers []peering.Peer, service string) []string {
	var all, withQueue []string
	for _, peer := range peers {
		name := peer.Digest.Member.Name
		all = append(all, name)
		for _, demand := range peer.Digest.Demands {
			if demand.Service == service && demand.Waiting > 0 {
				withQueue = append(withQueue, name)
			}
		}
	}
	if len(withQueue) > 0 {
		return withQueue
	}
	return all
}
