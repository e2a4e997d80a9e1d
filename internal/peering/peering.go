// Package peering lets gateways tell each other how they are: whether they take
// requests, what they have at each endpoint, and how new their copies of the
// store's objects are. It decides who is alive; what follows from the digests is
// decided elsewhere.
package peering

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

const (
	// exchangeInterval is how often two gateways of a region exchange digests. Loads of others
	// are at most that old, a fraction of the time that a request takes.
	exchangeInterval = 100 * time.Millisecond
	// crossRegionInterval is the same for gateways of different regions, whose links are thin.
	crossRegionInterval = 200 * time.Millisecond
	// digestsPerMemberList is the number of digests of which one names the other gateways: news
	// of them are rare, and most of a digest's bytes.
	digestsPerMemberList = 10
	// exchangeTimeout bounds an exchange; the longest way takes some milliseconds.
	exchangeTimeout = 400 * time.Millisecond
	// callTakeoverIntervals is the number of intervals of silence after which the gateway that
	// is usually called calls itself.
	callTakeoverIntervals = 3
	// copyFetchDelay is how long a copy may be behind a peer's before it is asked for: the
	// own watch is usually quicker.
	copyFetchDelay = 250 * time.Millisecond
	// copyTimeout bounds the transfer of a copy.
	copyTimeout = 2 * time.Second

	serviceName    = "Gateway"
	exchangeMethod = serviceName + ".Exchange"
	copyMethod     = serviceName + ".Copy"
)

// Peering exchanges digests with the other gateways. Set the exported fields before
// Run.
type Peering struct {
	Self    Member
	Table   *Table
	Control *controlrpc.Client
	// BulkControl transfers copies, so that digests do not wait behind them.
	BulkControl *controlrpc.Client
	Log         *event.Logger
	// Digest returns what to tell the others; Member and Others are filled in here.
	Digest func() Digest
	// Informers are the copies of objects that gateways hand to each other.
	Informers []*informer.Informer
	// Seeds are addresses of gateways that new ones are told.
	Seeds []string
	// OnDigest is called with each digest of another gateway.
	OnDigest func(Digest)

	mu      sync.Mutex
	calling map[string]bool
	// lastAlive is used by Run alone.
	lastAlive map[string]bool
	// behindSince holds since when a copy is behindSince that of a peer, by kind. It is used by
	// KeepUp alone.
	behindSince map[string]time.Time
}

// Register adds the calls of other gateways to a server.
func (p *Peering) Register(server *controlrpc.Server) error {
	return errors.Wrap(server.Register(serviceName, &service{peering: p}), "register the calls of gateways")
}

// service answers the calls of other gateways.
type service struct {
	peering *Peering
}

// Exchange hears a digest and answers with the own one, which names the other gateways if
// the one heard asks for them.
func (s *service) Exchange(args, reply *Digest) error {
	s.peering.receiveDigest(*args)
	*reply = s.peering.newDigest(args.AskOthers)
	return nil
}

// CopyArgs asks for a copy of a kind of objects.
type CopyArgs struct {
	Kind string
}

// CopyReply is a copy of a kind of objects.
type CopyReply struct {
	Held     bool
	Snapshot informer.Snapshot
}

// Copy answers with the own copy.
func (s *service) Copy(args *CopyArgs, reply *CopyReply) error {
	for _, local := range s.peering.Informers {
		if local.Kind == args.Kind {
			reply.Snapshot, reply.Held = local.Snapshot()
		}
	}
	return nil
}

// Run exchanges digests until ctx ends.
func (p *Peering) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	p.calling, p.lastAlive = map[string]bool{}, map[string]bool{}
	for _, seed := range p.Seeds {
		if seed != p.Self.Control {
			group.Go(func(ctx context.Context) { p.contactSeed(ctx, seed) })
		}
	}
	for ctx.Err() == nil {
		for _, member := range p.Table.Members() {
			p.startExchangeLoop(group, member.Name)
		}
		p.logAliveChanges()
		concurrency.Sleep(ctx, exchangeInterval)
	}
}

// contactSeed calls an address that is known from the start, until a gateway is heard.
func (p *Peering) contactSeed(ctx context.Context, address string) {
	for len(p.Table.Members()) == 0 && ctx.Err() == nil {
		p.exchange(ctx, address, true)
		concurrency.Sleep(ctx, 2*exchangeInterval)
	}
}

// startExchangeLoop begins to call a gateway, unless that was done.
func (p *Peering) startExchangeLoop(group *concurrency.Group, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calling[name] {
		return
	}
	p.calling[name] = true
	group.Go(func(ctx context.Context) {
		p.runExchangeLoop(ctx, name)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calling, name)
	})
}

// runExchangeLoop exchanges digests with a gateway until it is forgotten. Of two gateways the
// one with the lower name calls; the other one does so only after a silence.
func (p *Peering) runExchangeLoop(ctx context.Context, name string) {
	for round := 0; ctx.Err() == nil; round++ {
		member, exists := p.lookupMember(name)
		if !exists {
			return
		}
		period := exchangeInterval
		if member.Region != p.Self.Region {
			period = crossRegionInterval
		}
		if p.Self.Name < name || p.Table.SinceLastDigest(name) > callTakeoverIntervals*period {
			p.exchange(ctx, member.Control, round%digestsPerMemberList == 0)
		}
		concurrency.Sleep(ctx, period)
	}
}

func (p *Peering) lookupMember(name string) (Member, bool) {
	for _, member := range p.Table.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

func (p *Peering) exchange(ctx context.Context, address string, withOthers bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	args := p.newDigest(withOthers)
	var reply Digest
	if err := p.Control.Call(ctx, address, exchangeMethod, &args, &reply); err != nil {
		// The table's silence shows it; logAlive tells when it counts.
		return
	}
	p.receiveDigest(reply)
}

// newDigest returns what to tell another gateway.
func (p *Peering) newDigest(withOthers bool) Digest {
	digest := p.Digest()
	digest.Member = p.Self
	digest.Revisions = map[string]int64{}
	for _, local := range p.Informers {
		digest.Revisions[local.Kind] = local.Revision()
	}
	digest.AskOthers = withOthers
	if withOthers {
		for _, peer := range p.Table.Alive() {
			digest.Others = append(digest.Others, peer.Digest.Member)
		}
	}
	return digest
}

func (p *Peering) receiveDigest(digest Digest) {
	p.Table.RecordDigest(digest)
	p.OnDigest(digest)
}

// logAliveChanges tells which gateways came and went.
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
			p.Log.Emit(event.GatewaySilent, event.Fields{"gateway": name, "silentMs": p.Table.SinceLastDigest(name).Milliseconds()})
		}
	}
	p.lastAlive = alive
}
