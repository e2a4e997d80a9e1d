package peering

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// reportInterval is the interval between reports of a delegate to another cell of its
	// region.
	reportInterval = 300 * time.Millisecond
	// roundsPerRemoteReport is the number of intervals between reports to a cell in
	// another region, whose link has a low bandwidth.
	roundsPerRemoteReport = 3
	// reportNewsDelay is the delay before news is passed on to other cells. Cells in another
	// region get news at most every reportInterval.
	reportNewsDelay = 150 * time.Millisecond
	// digestsPerReport is the number of digests per digest that passes on the reports of
	// other cells.
	digestsPerReport = 2
	// delegatesPerCell is the number of gateways of a cell that send reports to each
	// other cell: the reports continue while one of them fails.
	delegatesPerCell = 2
	// partnerExclusion is how long a delegate sends no reports to a gateway that did not
	// respond.
	partnerExclusion = 2 * time.Second
)

// exchangeReports exchanges reports with each other cell whose delegate this gateway is,
// until ctx is done.
func (p *Peering) exchangeReports(ctx context.Context) {
	excludedUntil := map[string]time.Time{}
	news, remoteNews, lastRemote := p.News(), false, time.Time{}
	for round := 0; ctx.Err() == nil; round++ {
		remoteNews = waitForNews(ctx, reportInterval, news, reportNewsDelay) || remoteNews
		news = p.News()
		remoteDue := round%roundsPerRemoteReport == 0 || (remoteNews && time.Since(lastRemote) >= reportInterval)
		if remoteDue {
			remoteNews, lastRemote = false, time.Now()
		}
		cells := p.Table.Cells()
		group := concurrency.NewGroup(ctx)
		failed := make(chan string, len(cells.Names()))
		for _, cell := range cells.Names() {
			remote := cells.Members(cell)[0].Region != p.Self.Region
			if cell == cells.Of(p.Self.Name) || (remote && !remoteDue) || !p.isDelegate(cell) {
				continue
			}
			if partner, ok := choosePartner(p.Self.Name, cells.Members(cell), excludedUntil); ok {
				group.Go(func(ctx context.Context) {
					if !p.exchangeReport(ctx, partner) {
						failed <- partner.Name
					}
				})
			}
		}
		group.Wait()
		close(failed)
		for name := range failed {
			excludedUntil[name] = time.Now().Add(partnerExclusion)
		}
	}
}

// isDelegate reports whether this gateway exchanges reports with another cell.
func (p *Peering) isDelegate(cell string) bool {
	var others []string
	for _, peer := range p.Table.CellPeers() {
		others = append(others, peer.Digest.Member.Name)
	}
	return ranksWithin("delegate/"+cell, p.Self.Name, others, delegatesPerCell)
}

// choosePartner returns the first member in the rendezvous order of the delegate that is
// not excluded.
func choosePartner(delegate string, members []Member, excludedUntil map[string]time.Time) (Member, bool) {
	available := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return time.Now().Before(excludedUntil[member.Name]) })
	if len(available) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(available, func(a, b Member) int {
		return cmp.Compare(membership.Score(delegate, a.Name), membership.Score(delegate, b.Name))
	}), true
}

// exchangeReport sends the report on the local cell to a gateway of another cell and
// records the reply. It returns false if there is none.
func (p *Peering) exchangeReport(ctx context.Context, partner Member) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	args := p.newReport()
	var reply Report
	if err := p.Control.Call(ctx, partner.Control, reportMethod, &args, &reply); err != nil {
		// No logging here: logAliveChanges reports when gateways are no longer alive.
		return false
	}
	p.receiveReport(reply)
	return true
}

// newReport returns the report on the local cell.
func (p *Peering) newReport() Report { return p.Table.ownReport(p.localDigest()) }
