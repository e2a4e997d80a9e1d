package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// peerRefreshInterval is how old the list of live gateways may become. Usually each digest
// refreshes it; a gateway that receives none must still notice that others have failed.
const peerRefreshInterval = 300 * time.Millisecond

// cellOwner is another gateway of the cell that may grant its endpoint for a job.
type cellOwner struct {
	member   peering.Member
	endpoint string
	// reportedAt is when the digest with its load was received.
	reportedAt time.Time
	// free is the number of slots that the owner reports as free for others. places is the
	// number of jobs that fit in addition to the known load, as far as they are on time.
	free   int
	places int
	slots  int
	// predicted is the predicted latency of the job there, slack the delay that it tolerates.
	predicted time.Duration
	slack     time.Duration
}

// refreshPeers determines the live gateways again if no digest has done so recently.
func (d *Dispatcher) refreshPeers(now time.Time) {
	if !d.peersCheckedAt.IsZero() && now.Sub(d.peersCheckedAt) >= peerRefreshInterval {
		d.updateDemandRatios(now)
	}
}

// ownersGrant reports whether only the owners of the service's endpoints in this cell send
// requests to them, so that a gateway without an endpoint must ask an owner.
func (d *Dispatcher) ownersGrant(service string) bool {
	config, exists := d.Service(service)
	if !exists || config.Engine == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownershipOf(d.View(), service, time.Now()).exclusive
}

// cellOwners returns the other gateways of the cell whose endpoints may take the job now or
// later. used returns the number of jobs granted by an owner since its digest.
func (d *Dispatcher) cellOwners(job *Job, used func(owner peering.Peer) int) []cellOwner {
	config, exists := d.Service(job.Service)
	if !exists || config.Engine == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	minVersion := d.minVersion(job)
	slack := max(job.TargetTime.Sub(now)-prefillTime(config.Engine, job.PromptTokens), 0)
	snapshots := d.snapshotEndpoints(config, now)
	peers := make(map[string]peering.Peer, len(d.peers))
	for _, peer := range d.peers {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			peers[peer.Digest.Member.Name] = peer
		}
	}
	var owners []cellOwner
	for index := range snapshots {
		snapshot := &snapshots[index]
		peer, known := peers[snapshot.owner]
		if !known || snapshot.turnedAway > 0 || !eligible(job, snapshot, minVersion, now) {
			continue
		}
		capacity := capacityOf(peer.Digest.Capacities, job.Service)
		if capacity.Endpoints == 0 {
			continue
		}
		granted := used(peer)
		snapshot.running += granted
		evaluated, onTime := d.evaluate(job, config, snapshot, now)
		owner := cellOwner{member: peer.Digest.Member, endpoint: snapshot.endpoint.ID, reportedAt: peer.ReceivedAt, slots: snapshot.endpoint.Slots, predicted: evaluated.predicted, slack: slack}
		if onTime {
			owner.free = max(0, capacity.Free-granted)
			owner.places = max(0, snapshot.endpoint.Slots+overcommittedSlots-snapshot.running)
		}
		owners = append(owners, owner)
	}
	return owners
}
