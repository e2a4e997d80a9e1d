package loader

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// Plan is what a loader needs to know of the store: the model of its engine, where
// weights come from, which version is wanted, and which instances hold the same
// model. Each part has a number that grows, so that plans from several sources can
// be merged.
type Plan struct {
	Model   ModelPart
	Wanted  WantedPart
	Members MembersPart
}

// ModelPart comes from the configuration with the number Version.
type ModelPart struct {
	Version    int64
	Model      string
	Layers     int
	Chunks     int
	Origin     string
	OriginZone string
}

// WantedPart is the version of the model that the operators want, 0 if they named
// none, and for how long that is known.
type WantedPart struct {
	Version int64
	Age     time.Duration
}

// MembersPart are the instances at a revision of the store.
type MembersPart struct {
	Revision  int64
	Instances []Member
}

// Member is an instance and the version that its engine serves, 0 if none.
type Member struct {
	Instance membership.Instance
	Version  int64
}

// instances returns the instances of the members for which keep is true.
func instances(members []Member, keep func(Member) bool) []membership.Instance {
	var list []membership.Instance
	for _, member := range members {
		if keep(member) {
			list = append(list, member.Instance)
		}
	}
	return list
}

func everyMember(Member) bool { return true }

// PlanVersions says which parts of a plan are known.
type PlanVersions struct {
	Model   int64
	Wanted  int64
	Members int64
}

// Versions returns the numbers of the plan's parts.
func (p *Plan) Versions() PlanVersions {
	return PlanVersions{Model: p.Model.Version, Wanted: p.Wanted.Version, Members: p.Members.Revision}
}

// NewerThan returns the parts that are newer than the known ones, and false if none is.
func (p *Plan) NewerThan(known PlanVersions) (Plan, bool) {
	var news Plan
	if p.Model.Version > known.Model {
		news.Model = p.Model
	}
	if p.Wanted.Version > known.Wanted {
		news.Wanted = p.Wanted
	}
	if p.Members.Revision > known.Members {
		news.Members = p.Members
	}
	return news, news.Versions() != PlanVersions{}
}

// planBoard holds the merged plan. It is safe for concurrent use.
type planBoard struct {
	mu      sync.Mutex
	plan    Plan
	heard   time.Time
	named   map[int64]time.Time
	changed chan struct{}
}

func newPlanBoard() *planBoard {
	return &planBoard{named: map[int64]time.Time{}, changed: make(chan struct{})}
}

// offer merges the parts of a plan that are newer.
func (b *planBoard) offer(plan Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	news, any := plan.NewerThan(b.plan.Versions())
	if !any {
		return
	}
	if news.Model.Version > 0 {
		b.plan.Model = news.Model
	}
	if news.Wanted.Version > 0 {
		b.plan.Wanted = news.Wanted
		b.named[news.Wanted.Version] = time.Now().Add(-news.Wanted.Age)
	}
	if news.Members.Revision > 0 {
		b.plan.Members = news.Members
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// noteHeard records that a gateway called.
func (b *planBoard) noteHeard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = time.Now()
}

// lastHeard returns when a gateway called last.
func (b *planBoard) lastHeard() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard
}

// current returns the plan and a channel that is closed when it changes. Callers must
// not change the plan.
func (b *planBoard) current() (Plan, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plan, b.changed
}

// namedAt returns when the version was named, as far as it is known, or zero.
func (b *planBoard) namedAt(version int64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.named[version]
}

// wait returns at a change, after the longest time, or when ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, longest time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}
