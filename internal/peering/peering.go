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
	// interval is how often two gateways of a region exchange digests. Loads of others
	// are at most that old, a fraction of the time that a request takes.
	interval = 100 * time.Millisecond
	// farInterval is the same for gateways of different regions, whose links are thin.
	farInterval = 200 * time.Millisecond
	// othersEvery is the number of digests of which one names the other gateways: news
	// of them are rare, and most of a digest's bytes.
	othersEvery = 10
	// timeout bounds an exchange; the longest way takes some milliseconds.
	timeout = 400 * time.Millisecond
	// takeOverAfter is the number of intervals of silence after which the gateway that
	// is usually called calls itself.
	takeOverAfter = 3
	// lagLimit is how long a copy may be behind a peer's before it is asked for: the
	// own watch is usually quicker.
	lagLimit = 250 * time.Millisecond
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
	// Bulk transfers copies, so that digests do not wait behind them.
	Bulk *controlrpc.Client
	Log  *event.Logger
	// Digest returns what to tell the others; Member and Others are filled in here.
	Digest func() Digest
	// Copies are the copies of objects that gateways hand to each other.
	Copies []*informer.Informer
	// Seeds are addresses of gateways that new ones are told.
	Seeds []string
	// OnDigest is called with each digest of another gateway.
	OnDigest func(Digest)

	mu     sync.Mutex
	called map[string]bool
	// alive is used by Run alone.
	alive map[string]bool
	// behind holds since when a copy is behind that of a peer, by kind. It is used by
	// KeepUp alone.
	behind map[string]time.Time
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
	s.peering.hear(*args)
	*reply = s.peering.digest(args.AskOthers)
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
	for _, held := range s.peering.Copies {
		if held.Kind == args.Kind {
			reply.Snapshot, reply.Held = held.Snapshot()
		}
	}
	return nil
}

// Run exchanges digests until ctx ends.
func (p *Peering) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	p.called, p.alive = map[string]bool{}, map[string]bool{}
	for _, seed := range p.Seeds {
		if seed != p.Self.Control {
			group.Go(func(ctx context.Context) { p.askSeed(ctx, seed) })
		}
	}
	for ctx.Err() == nil {
		for _, member := range p.Table.Members() {
			p.startCalling(group, member.Name)
		}
		p.logAlive()
		concurrency.Sleep(ctx, interval)
	}
}

// askSeed calls an address that is known from the start, until a gateway is heard.
func (p *Peering) askSeed(ctx context.Context, address string) {
	for len(p.Table.Members()) == 0 && ctx.Err() == nil {
		p.exchange(ctx, address, true)
		concurrency.Sleep(ctx, 2*interval)
	}
}

// startCalling begins to call a gateway, unless that was done.
func (p *Peering) startCalling(group *concurrency.Group, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.called[name] {
		return
	}
	p.called[name] = true
	group.Go(func(ctx context.Context) {
		p.call(ctx, name)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.called, name)
	})
}

// call exchanges digests with a gateway until it is forgotten. Of two gateways the
// one with the lower name calls; the other one does so only after a silence.
func (p *Peering) call(ctx context.Context, name string) {
	for count := 0; ctx.Err() == nil; count++ {
		member, known := p.member(name)
		if !known {
			return
		}
		pause := interval
		if member.Region != p.Self.Region {
			pause = farInterval
		}
		if p.Self.Name < name || p.Table.Silence(name) > takeOverAfter*pause {
			p.exchange(ctx, member.Control, count%othersEvery == 0)
		}
		concurrency.Sleep(ctx, pause)
	}
}

func (p *Peering) member(name string) (Member, bool) {
	for _, member := range p.Table.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

func (p *Peering) exchange(ctx context.Context, address string, withOthers bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args := p.digest(withOthers)
	var reply Digest
	if err := p.Control.Call(ctx, address, exchangeMethod, &args, &reply); err != nil {
		// The table's silence shows it; logAlive tells when it counts.
		return
	}
	p.hear(reply)
}

// digest returns what to tell another gateway.
func (p *Peering) digest(withOthers bool) Digest {
	digest := p.Digest()
	digest.Member = p.Self
	digest.Revisions = map[string]int64{}
	for _, held := range p.Copies {
		digest.Revisions[held.Kind] = held.Revision()
	}
	digest.AskOthers = withOthers
	if withOthers {
		for _, peer := range p.Table.Alive() {
			digest.Others = append(digest.Others, peer.Digest.Member)
		}
	}
	return digest
}

func (p *Peering) hear(digest Digest) {
	p.Table.Hear(digest)
	p.OnDigest(digest)
}

// logAlive tells which gateways came and went.
func (p *Peering) logAlive() {
	now := map[string]bool{}
	for _, peer := range p.Table.Alive() {
		name := peer.Digest.Member.Name
		now[name] = true
		if !p.alive[name] {
			p.Log.Emit(event.GatewayAlive, event.Fields{"gateway": name, "incarnation": peer.Digest.Member.Incarnation})
		}
	}
	for name := range p.alive {
		if !now[name] {
			p.Log.Emit(event.GatewayUnresponsive, event.Fields{"gateway": name, "silentMs": p.Table.Silence(name).Milliseconds()})
		}
	}
	p.alive = now
}
