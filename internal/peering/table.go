package peering

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/quarantine"
)

const (
	// aliveTimeout is the time without a digest after which a gateway is no longer
	// considered alive. It spans several digest intervals and is well below the time
	// within which the directory must stop listing the gateway.
	aliveTimeout = 1500 * time.Millisecond
	// reportTimeout is the age of a report up to which the gateways of another cell are
	// considered alive. Reports pass through one or two gateways.
	reportTimeout = 2500 * time.Millisecond
	// memberTTL is the time without a digest after which a gateway is removed and no
	// longer called.
	memberTTL = time.Minute
)

// Table holds the state of the other gateways. It is safe for concurrent use. Set the
// exported fields before the first call.
type Table struct {
	// Self is the local gateway, Start the time at which it started.
	Self  Member
	Start time.Time

	mu     sync.Mutex
	peers  map[string]*tableEntry
	reader readerState
	// cells is nil after the members changed.
	cells *Cells
	// reports holds the newest report from each other cell. direct is true for those
	// that a gateway of that cell sent itself.
	reports map[string]storedReport
}

// tableEntry is the state of one other gateway.
type tableEntry struct {
	// member is the newest record of the gateway. Its incarnation is older than that of
	// peer if only reports have shown the gateway since it started again.
	member Member
	// incarnationSeenAt is when the newest incarnation was added.
	incarnationSeenAt time.Time
	// peer is the newest digest. Of a gateway in another cell, it holds only what reports
	// contain.
	peer Peer
}

// alive reports whether the gateway sent a digest within aliveTimeout or, in another cell,
// was in a report within reportTimeout.
func (e *tableEntry) alive(sameCell bool, now time.Time) bool {
	timeout := reportTimeout
	if sameCell {
		timeout = aliveTimeout
	}
	return !e.peer.ReceivedAt.IsZero() && now.Sub(e.peer.ReceivedAt) <= timeout
}

// storedReport is a report with the time at which its contents were current.
type storedReport struct {
	report    Report
	currentAt time.Time
	direct    bool
}

// AddMember adds a gateway, or replaces it if member has a newer incarnation.
func (t *Table) AddMember(member Member) {
	if member.Name == t.Self.Name || member.Name == "" || member.Control == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string]*tableEntry{}
	}
	existing := t.peers[member.Name]
	if existing != nil && existing.member.Incarnation >= member.Incarnation {
		return
	}
	added := &tableEntry{member: member, incarnationSeenAt: time.Now()}
	if existing != nil && existing.peer.Digest.Member.Incarnation >= member.Incarnation {
		// A report was faster than the member's record.
		added.peer = existing.peer
		member.Incarnation = existing.peer.Digest.Member.Incarnation
		added.peer.Digest.Member = member
	}
	t.peers[member.Name] = added
	t.cells = nil
}

// RecordDigest records a digest received from another gateway and adds the gateways
// that it lists. A digest of an older incarnation is discarded.
func (t *Table) RecordDigest(digest Digest) {
	t.AddMember(digest.Member)
	for _, other := range digest.Others {
		t.AddMember(other)
	}
	for _, report := range digest.Reports {
		t.recordReport(report, false)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[digest.Member.Name]
	if entry == nil || entry.member.Incarnation != digest.Member.Incarnation {
		return
	}
	digest.Others, digest.Reports, digest.Quarantine = nil, nil, quarantine.Digest{}
	entry.peer = Peer{Digest: digest, ReceivedAt: time.Now()}
}

// recordReport records the report of another cell. direct is true if a gateway of that
// cell sent it.
func (t *Table) recordReport(report Report, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	currentAt := time.Now().Add(-report.Age)
	cells := t.currentCells()
	if report.Cell == "" || report.Cell == cells.Of(t.Self.Name) || !t.reports[report.Cell].currentAt.Before(currentAt) {
		return
	}
	if t.reports == nil {
		t.reports = map[string]storedReport{}
	}
	// Receivers of the report have applied it.
	report.Quarantine = quarantine.Digest{}
	t.reports[report.Cell] = storedReport{report: report, currentAt: currentAt, direct: direct}
	for _, summary := range report.Summaries {
		entry := t.peers[summary.Name]
		if entry == nil || summary.Incarnation < entry.member.Incarnation || cells.Of(summary.Name) != report.Cell {
			continue
		}
		known := &entry.peer.Digest
		if summary.Incarnation < known.Member.Incarnation || (summary.Incarnation == known.Member.Incarnation && summary.Uptime <= known.Uptime) {
			// Nothing new is known of the gateway. The age of a report does not tell: it is
			// too low if a process that passed the report on was suspended.
			continue
		}
		// The entry keeps the incarnation of the record, which is replaced by a newer one: the
		// address may have changed, and summaries have none.
		member := entry.member
		member.Incarnation = summary.Incarnation
		entry.peer = Peer{ReceivedAt: currentAt, Digest: Digest{
			Member: member, Uptime: summary.Uptime, Ready: summary.Ready, Stopping: summary.Stopping, Capacities: summary.Capacities,
			ReadsStore: summary.ReadsStore, Copies: summary.Copies, Configuration: summary.Configuration, WroteCheckpoint: summary.WroteCheckpoint,
		}}
	}
}

// directReports returns the reports that gateways of other cells sent to this one.
func (t *Table) directReports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var reports []Report
	for _, stored := range t.reports {
		if age := now.Sub(stored.currentAt); stored.direct && age <= reportTimeout {
			report := stored.report
			report.Age = age
			reports = append(reports, report)
		}
	}
	return reports
}

// ownReport returns the report on the local cell. self is the local digest.
func (t *Table) ownReport(self Digest) Report {
	report := Report{Cell: t.Cells().Of(t.Self.Name), Summaries: []Summary{self.summary()}, Quarantine: self.Quarantine, Announced: self.Announced}
	for _, peer := range t.CellPeers() {
		report.Announced = append(report.Announced, aged(peer.Digest.Announced, time.Since(peer.ReceivedAt))...)
		report.Summaries = append(report.Summaries, peer.Digest.summary())
	}
	return report
}

// Members returns the other gateways, ordered by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, entry := range t.peers {
		members = append(members, entry.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// removeExpired removes the gateways that were neither added nor sent a digest within
// memberTTL.
func (t *Table) removeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for name, entry := range t.peers {
		if now.Sub(entry.incarnationSeenAt) > memberTTL && now.Sub(entry.peer.ReceivedAt) > memberTTL {
			delete(t.peers, name)
			t.cells = nil
		}
	}
}

// Cells returns the cells of all known gateways, alive or not.
func (t *Table) Cells() *Cells {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentCells()
}

func (t *Table) currentCells() *Cells {
	if t.cells == nil {
		members := []Member{t.Self}
		for _, entry := range t.peers {
			members = append(members, entry.member)
		}
		t.cells = NewCells(members)
	}
	return t.cells
}

// CellEndpoints returns a function that reports whether the gateways of the local cell send
// requests to an endpoint. It returns nil if they do so to every endpoint. Other cells are
// available while one of their gateways is ready. The local cell always is, as a gateway that
// is about to stop still serves what it has accepted; its endpoints may then have two cells.
func (t *Table) CellEndpoints() func(id, region string) bool {
	cells := t.Cells()
	if len(cells.Names()) == 1 {
		return nil
	}
	own := cells.Of(t.Self.Name)
	available := map[string]bool{own: true}
	for _, peer := range t.Alive() {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			available[cells.Of(peer.Digest.Member.Name)] = true
		}
	}
	return func(id, region string) bool {
		return cells.ForEndpoint(id, region, func(cell string) bool { return available[cell] }) == own
	}
}

// CellMembers returns the other gateways of the local cell, ordered by name.
func (t *Table) CellMembers() []Member {
	cells := t.Cells()
	return slices.DeleteFunc(slices.Clone(cells.Members(cells.Of(t.Self.Name))), func(member Member) bool { return member.Name == t.Self.Name })
}

// SinceLastDigest returns the time since the last digest of a gateway, or memberTTL if
// there is none.
func (t *Table) SinceLastDigest(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[name]
	if entry == nil || entry.peer.ReceivedAt.IsZero() {
		return memberTTL
	}
	return time.Since(entry.peer.ReceivedAt)
}

// idle reports whether the last digest of a gateway reported no requests.
func (t *Table) idle(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[name]
	return entry != nil && entry.peer.Digest.idle()
}

// Alive returns the gateways that are alive: those of the local cell that sent a digest
// within aliveTimeout, and those of other cells that a report within reportTimeout lists.
// They are ordered by name.
func (t *Table) Alive() []Peer { return t.alive(func(string) bool { return true }) }

// nearPeers returns the gateways of the local cell and of the local region that are alive:
// copies are not fetched over the links between regions unless a cell spans these.
func (t *Table) nearPeers() []Peer {
	cells := t.Cells()
	return slices.DeleteFunc(t.Alive(), func(peer Peer) bool {
		member := peer.Digest.Member
		return member.Region != t.Self.Region && cells.Of(member.Name) != cells.Of(t.Self.Name)
	})
}

// CellPeers returns the gateways of the local cell that are alive, ordered by name.
func (t *Table) CellPeers() []Peer {
	return t.alive(func(cell string) bool { return cell == t.cells.Of(t.Self.Name) })
}

// RemotePeers returns the gateways of other cells that are alive, ordered by name.
func (t *Table) RemotePeers() []Peer {
	return t.alive(func(cell string) bool { return cell != t.cells.Of(t.Self.Name) })
}

// aliveMembers returns the records of the gateways that are alive.
func (t *Table) aliveMembers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	cells := t.currentCells()
	ownCell := cells.Of(t.Self.Name)
	var members []Member
	for name, entry := range t.peers {
		if entry.alive(cells.Of(name) == ownCell, now) {
			members = append(members, entry.member)
		}
	}
	return members
}

// AliveMember returns the record of a gateway, and false if it is not alive.
func (t *Table) AliveMember(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[name]
	if entry == nil {
		return Member{}, false
	}
	cells := t.currentCells()
	return entry.member, entry.alive(cells.Of(name) == cells.Of(t.Self.Name), time.Now())
}

// aliveAt reports whether a gateway with the control address is alive.
func (t *Table) aliveAt(address string) bool {
	return slices.ContainsFunc(t.aliveMembers(), func(member Member) bool { return member.Control == address })
}

// alive returns the gateways that are alive in the cells that match.
func (t *Table) alive(match func(cell string) bool) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	cells := t.currentCells()
	ownCell := cells.Of(t.Self.Name)
	var alive []Peer
	for name, entry := range t.peers {
		if cell := cells.Of(name); match(cell) && entry.alive(cell == ownCell, now) {
			alive = append(alive, entry.peer)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return cmp.Compare(a.Digest.Member.Name, b.Digest.Member.Name) })
	return alive
}
