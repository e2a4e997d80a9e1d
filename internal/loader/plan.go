package loader

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/membership"
)

// Plan is the part of the object store's state that a loader needs: the model of its
// engine, the origin of the weights, the wanted version, and the instances with the same
// model. Each part has an increasing version, so that plans from several sources can be
// merged.
type Plan struct {
	Model   ModelPart
	Wanted  WantedPart
	Members MembersPart
}

// ModelPart describes the model and the origin of its weights, as read from the
// configuration with the given Version. A weight set has Chunks chunks of ChunkBytes each;
// ChunkBytes is 0 if it is unknown.
type ModelPart struct {
	Version    int64
	Model      string
	Layers     int
	Chunks     int
	ChunkBytes int
	Origin     string
	OriginZone string
}

// WantedPart holds the version of the model that the operators want, or 0 if they set
// none, and the time since it became known.
type WantedPart struct {
	Version int64
	Age     time.Duration
}

// MembersPart holds the instances at a position in the object store's history.
type MembersPart struct {
	Position  informer.Position
	Instances []Member
}

// Member is an instance and the version that its engine serves, or 0 if it serves none.
type Member struct {
	Instance membership.Instance
	Version  int64
}

// newestServed returns the newest version that an engine serves, 0 if none serves any.
func (p *Plan) newestServed() int64 {
	newest := int64(0)
	for _, member := range p.Members.Instances {
		newest = max(newest, member.Version)
	}
	return newest
}

// filterInstances returns the instances of the members for which keep returns true.
func filterInstances(members []Member, keep func(Member) bool) []membership.Instance {
	var list []membership.Instance
	for _, member := range members {
		if keep(member) {
			list = append(list, member.Instance)
		}
	}
	return list
}

func allMembers(Member) bool { return true }

// PlanVersions holds the versions of a plan's parts, 0 for a part that is unknown. WantedAge is the
// time since the wanted version became known.
type PlanVersions struct {
	Model     int64
	Wanted    int64
	WantedAge time.Duration
	Members   informer.Position
}

// minAgeDifference is the difference of two ages of the wanted version above which the part with the
// greater age is the newer one.
const minAgeDifference = 200 * time.Millisecond

// Versions returns the versions of the plan's parts.
func (p *Plan) Versions() PlanVersions {
	return PlanVersions{Model: p.Model.Version, Wanted: p.Wanted.Version, WantedAge: p.Wanted.Age, Members: p.Members.Position}
}

// NewerThan returns the parts that are newer than the given versions, and false if there
// are none.
func (p *Plan) NewerThan(versions PlanVersions) (Plan, bool) {
	var newer Plan
	if p.Model.Version > versions.Model {
		newer.Model = p.Model
	}
	if p.Wanted.Version > versions.Wanted || (p.Wanted.Version == versions.Wanted && p.Wanted.Age > versions.WantedAge+minAgeDifference) {
		newer.Wanted = p.Wanted
	}
	if p.Members.Position.After(versions.Members) {
		newer.Members = p.Members
	}
	return newer, newer.Versions() != PlanVersions{}
}

// planHolder holds the merged plan and the time of the last call from a gateway. It is
// safe for concurrent use.
type planHolder struct {
	mu            sync.Mutex
	plan          Plan
	lastContactAt time.Time
	knownSince    map[int64]time.Time
	changed       chan struct{}
}

func newPlanHolder() *planHolder {
	return &planHolder{knownSince: map[int64]time.Time{}, changed: make(chan struct{})}
}

// merge applies the parts of a plan that are newer than the current ones.
func (h *planHolder) merge(plan Plan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newer, hasNewer := plan.NewerThan(h.versions())
	if !hasNewer {
		return
	}
	if newer.Model.Version > 0 {
		h.plan.Model = newer.Model
	}
	if newer.Wanted.Version > 0 {
		h.plan.Wanted = newer.Wanted
		h.knownSince[newer.Wanted.Version] = time.Now().Add(-newer.Wanted.Age)
	}
	if !newer.Members.Position.IsZero() {
		h.plan.Members = newer.Members
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// versions returns the versions of the plan's parts at this moment. The caller must hold mu.
func (h *planHolder) versions() PlanVersions {
	versions := h.plan.Versions()
	if since, known := h.knownSince[versions.Wanted]; known {
		versions.WantedAge = time.Since(since)
	}
	return versions
}

// currentVersions returns the versions of the plan's parts at this moment.
func (h *planHolder) currentVersions() PlanVersions {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions()
}

// recordContact records the time of a call from a gateway.
func (h *planHolder) recordContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastContactAt = time.Now()
}

// lastContact returns the time of the last call from a gateway, or zero before the first.
func (h *planHolder) lastContact() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastContactAt
}

// current returns the plan and a channel that is closed when it changes. Callers must
// not change the plan.
func (h *planHolder) current() (Plan, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.plan, h.changed
}

// wantedSince returns when the operators' request for the version became known, or zero
// if the time is unknown.
func (h *planHolder) wantedSince(version int64) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knownSince[version]
}

// waitForChange waits until changed is closed, the timeout expires or ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}
