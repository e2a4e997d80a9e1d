package loader

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/p2p"
)

// goal is a version of the engine's model. Version 0 means the newest one that the
// origin has, when the operators named none.
type goal struct {
	model   string
	version int64
}

// want returns what this instance should hold: what the operators named, otherwise
// what the engine serves, otherwise the newest. It returns false before the plan
// names a model, and while there is no engine to serve.
func (l *Loader) want() (goal, bool) {
	plan, _ := l.plans.current()
	if plan.Model.Model == "" || !l.takesPart(plan) {
		return goal{}, false
	}
	if plan.Wanted.Version > 0 {
		return goal{model: plan.Model.Model, version: plan.Wanted.Version}, true
	}
	status := l.status.current()
	return goal{model: plan.Model.Model, version: status.Status.Version(plan.Model.Model)}, status.Answering
}

// takesPart reports whether the instance has an engine that needs weights: one that
// answers, or one that is expected back, since its entry in the store has not expired.
func (l *Loader) takesPart(plan Plan) bool {
	if l.status.current().Answering {
		return true
	}
	return slices.ContainsFunc(plan.Members.Instances, func(member Member) bool { return member.Instance.Name == l.Deployment.Instance.IP })
}

// serve answers another instance that asks for a chunk.
func (l *Loader) serve(ctx context.Context, request p2p.Request) (p2p.Response, error) {
	answer, err := l.fetcher.Serve(ctx, request)
	if plan, _ := l.plans.current(); errors.Is(err, p2p.ErrNotWanted) && plan.Model.Model != "" && !l.takesPart(plan) {
		return answer, p2p.ErrNotParticipating
	}
	return answer, err
}
