// Package peering exchanges digests between gateways: whether they accept requests,
// their load at each endpoint, and the revisions of their copies of the objects in the
// object store. It determines which gateways are alive; other packages act on the
// contents of the digests.
package peering

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

const (
	// exchangeInterval is the interval between digests of two gateways in the same
	// region. It bounds the age of their loads to a fraction of the duration of a
	// request.
	exchangeInterval = 100 * time.Millisecond
	// crossRegionInterval is the interval between digests of gateways in different
	// regions, which have low-bandwidth links.
	crossRegionInterval = 200 * time.Millisecond
	// idleInterval is the interval between digests of two gateways without requests.
	idleInterval = 300 * time.Millisecond
	// digestsPerMemberList is the number of digests per digest that lists the other
	// gateways: these rarely change and make up most of the bytes of a digest.
	digestsPerMemberList = 10
	// seedInterval is the interval at which a seed that is not known to be alive is
	// contacted.
	seedInterval = time.Second
	// exchangeTimeout bounds an exchange of digests; the longest network path has a
	// latency of a few milliseconds.
	exchangeTimeout = 400 * time.Millisecond
	// callTakeoverIntervals is the number of intervals without a digest after which
	// the gateway that is normally called initiates the exchange itself.
	callTakeoverIntervals = 3
	// copyFetchDelay is how long the local copy must be older than a peer's before the
	// peer's copy is fetched: the local watch usually catches up sooner.
	copyFetchDelay = 250 * time.Millisecond
	// behindLogDelay is how long the local copy must not have reached a peer's before that is
	// logged.
	behindLogDelay = time.Second
	// copyTimeout bounds the transfer of a whole copy, deltaTimeout that of a delta: if the
	// source is silent, enough time must remain for another one.
	copyTimeout  = 2 * time.Second
	deltaTimeout = 500 * time.Millisecond
	// sourceExclusion is how long a gateway that sent no copy is not asked again while
	// another one has the same copy.
	sourceExclusion = 2 * time.Second
	// sourceRetryDelay is how long a gateway that sent no copy of a kind is not asked for that kind
	// again in any case: meanwhile another one may get the same copy from the object store.
	sourceRetryDelay = 300 * time.Millisecond
	// retainedInterval is the interval between requests for retained objects.
	retainedInterval = 500 * time.Millisecond

	serviceName    = "Gateway"
	exchangeMethod = serviceName + ".Exchange"
	copyMethod     = serviceName + ".Copy"
	reportMethod   = serviceName + ".Report"
)

// Peering exchanges digests with the other gateways. Set the exported fields before
// calling Run.
type Peering struct {
	Self    Member
	Table   *Table
	Control *controlrpc.Client
	// BulkControl transfers copies, so that digests are not delayed behind them.
	BulkControl *controlrpc.Client
	Log         *event.Logger
	// Digest returns the digest to send. Peering sets its Member, Uptime, Copies, Reports,
	// Others and AskOthers.
	Digest func() Digest
	// Informers hold the copies of objects that gateways fetch from each other.
	Informers []*informer.Informer
	// Seeds are addresses for the initial discovery of other gateways.
	Seeds []string
	// OnDigest is called with each digest received from another gateway.
	OnDigest func(Digest)
	// OnReport is called with each report received from another cell.
	OnReport func(Report)
	// CellNews and News return channels that are closed when the next digests to the cell
	// or reports to other cells must not wait for their interval.
	CellNews func() <-chan struct{}
	News     func() <-chan struct{}

	// idle is true if the last local digest reported no requests.
	idle atomic.Bool

	mu         sync.Mutex
	exchanging map[string]bool
	// lastAlive holds the gateways that were alive at the last check. Only Run uses it.
	lastAlive map[string]bool
	// silentAt holds, by name, the time at which a gateway last failed to send a copy. mu
	// protects it.
	silentAt map[string]time.Time
}

// Register registers the service for calls from other gateways on a server.
func (p *Peering) Register(server *controlrpc.Server) error {
	return errors.Wrap(server.Register(serviceName, &service{peering: p}), "register the gateway service")
}

// service handles calls from other gateways.
type service struct {
	peering *Peering
}

// Exchange receives a digest and replies with the local one, which includes what the
// received digest requests.
func (s *service) Exchange(args, reply *Digest) error {
	s.peering.receiveDigest(*args)
	*reply = s.peering.newDigest(args.AskOthers, args.AskReports)
	return nil
}

// Report receives a report on another cell and replies with one on the local cell.
func (s *service) Report(args, reply *Report) error {
	s.peering.receiveReport(*args)
	*reply = s.peering.newReport()
	return nil
}

// CopyArgs requests the objects of a kind that changed after a position.
type CopyArgs struct {
	Kind  string
	Since informer.Position
}

// CopyReply returns the changed objects of a kind. Held is false if there is no copy.
type CopyReply struct {
	Held  bool
	Delta informer.Delta
}

// Copy replies with the changes of the local copy of the requested kind.
func (s *service) Copy(args *CopyArgs, reply *CopyReply) error {
	for _, local := range s.peering.Informers {
		if local.Kind == args.Kind {
			reply.Delta, reply.Held = local.Delta(args.Since)
		}
	}
	return nil
}

// Run exchanges digests until ctx is done.
func (p *Peering) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	p.exchanging, p.lastAlive = map[string]bool{}, map[string]bool{}
	for _, seed := range p.Seeds {
		if seed != p.Self.Control {
			group.Go(func(ctx context.Context) { p.contactSeed(ctx, seed) })
		}
	}
	group.Go(p.exchangeReports)
	for ctx.Err() == nil {
		p.Table.removeExpired()
		for _, member := range p.Table.CellMembers() {
			p.startExchangeLoop(group, member.Name)
		}
		p.logAliveChanges()
		concurrency.Tick(ctx, exchangeInterval)
	}
}

// contactSeed exchanges digests with a seed address until another gateway is known, and
// for at least settleTime, because gateways often start at the same time. Later it does so
// while the gateway at the address is not known to be alive: after a long cut, both sides
// have forgotten each other.
func (p *Peering) contactSeed(ctx context.Context, address string) {
	for ctx.Err() == nil {
		starting := len(p.Table.Members()) == 0 || time.Since(p.Table.Start) < settleTime
		if starting || !p.Table.aliveAt(address) {
			p.exchange(ctx, address, true, false)
		}
		if starting {
			concurrency.Sleep(ctx, exchangeInterval)
		} else {
			concurrency.Tick(ctx, seedInterval)
		}
	}
}

// startExchangeLoop starts the exchange loop for a gateway unless it is running.
func (p *Peering) startExchangeLoop(group *concurrency.Group, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exchanging[name] {
		return
	}
	p.exchanging[name] = true
	group.Go(func(ctx context.Context) {
		p.runExchangeLoop(ctx, name)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.exchanging, name)
	})
}

// runExchangeLoop exchanges digests with a gateway while it is in the local cell. Of
// two gateways, the one with the lower name initiates the exchange; the other one does
// so only after callTakeoverIntervals intervals without a digest.
func (p *Peering) runExchangeLoop(ctx context.Context, name string) {
	urgent := false
	for round := 0; ctx.Err() == nil; round++ {
		news := p.CellNews()
		member, exists := p.lookupMember(name)
		if !exists {
			return
		}
		period := p.exchangePeriod(member)
		if urgent || p.Self.Name < name || p.Table.SinceLastDigest(name) > callTakeoverIntervals*period {
			p.exchange(ctx, member.Control, round%digestsPerMemberList == 0, round%digestsPerReport == 0)
		}
		urgent = waitForNews(ctx, period, news, cellNewsDelay)
	}
}

// cellNewsDelay is the delay before news is passed on in the cell, which limits the number
// of digests if there is much.
const cellNewsDelay = 50 * time.Millisecond

// waitForNews waits for the next tick of an interval. If there is news earlier, it returns
// true after a delay.
func waitForNews(ctx context.Context, interval time.Duration, news <-chan struct{}, delay time.Duration) bool {
	timer := time.NewTimer(concurrency.UntilTick(interval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-news:
		return concurrency.Sleep(ctx, delay)
	}
	return false
}

// exchangePeriod returns the interval between digests with a gateway.
func (p *Peering) exchangePeriod(member Member) time.Duration {
	switch {
	case p.idle.Load() && p.Table.idle(member.Name):
		return idleInterval
	case member.Region != p.Self.Region:
		return crossRegionInterval
	default:
		return exchangeInterval
	}
}

func (p *Peering) lookupMember(name string) (Member, bool) {
	for _, member := range p.Table.CellMembers() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

func (p *Peering) exchange(ctx context.Context, address string, withOthers, withReports bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	args := p.newDigest(withOthers, withReports)
	var reply Digest
	if err := p.Control.Call(ctx, address, exchangeMethod, &args, &reply); err != nil {
		// No logging here: the table records the time since the last digest, and
		// logAliveChanges reports when the gateway is no longer alive.
		return
	}
	p.receiveDigest(reply)
}

// newDigest returns the digest to send to another gateway.
func (p *Peering) newDigest(withOthers, withReports bool) Digest {
	digest := p.localDigest()
	digest.AskOthers, digest.AskReports = withOthers, withReports
	if withReports {
		digest.Reports = p.Table.directReports()
	}
	if withOthers {
		digest.Others = p.Table.aliveMembers()
	}
	return digest
}

// localDigest returns the digest without the parts that describe other gateways.
func (p *Peering) localDigest() Digest {
	digest := p.Digest()
	digest.Member, digest.Uptime = p.Self, time.Since(p.Table.Start)
	p.idle.Store(digest.idle())
	digest.Copies = map[string]CopyState{}
	for _, local := range p.Informers {
		digest.Copies[local.Kind] = CopyState{Position: local.Position(), Retained: local.RetainedCount()}
	}
	return digest
}

func (p *Peering) receiveDigest(digest Digest) {
	p.Table.RecordDigest(digest)
	p.OnDigest(digest)
}

func (p *Peering) receiveReport(report Report) {
	p.Table.recordReport(report, true)
	p.OnReport(report)
}

// logAliveChanges logs which gateways became alive or unresponsive since the last check.
func (p *Peering) logAliveChanges() {
	alive := map[string]bool{}
	for _, peer := range p.Table.Alive() {
		name := peer.Digest.Member.Name
		alive[name] = true
		if !p.lastAlive[name] {
			p.Log.Emit(event.GatewayAlive, event.Fields{"gateway": name, "incarnation": peer.Digest.Member.Incarnation})
		}
	}
	for name := range p.lastAlive {
		if !alive[name] {
			p.Log.Emit(event.GatewayUnresponsive, event.Fields{"gateway": name, "silentMs": p.Table.SinceLastDigest(name).Milliseconds()})
		}
	}
	p.lastAlive = alive
}
