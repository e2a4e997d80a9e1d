package loader

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/p2p"
)

// modelVersion identifies a version of the engine's model. Version 0 means the newest
// version at the origin; it is used when the operators have not set a version.
type modelVersion struct {
	model   string
	version int64
}

// wantedVersion returns the version that this instance should store: the one set by the
// operators, otherwise the one that the engine serves, otherwise the newest that another
// engine serves, otherwise the newest at the origin. It returns false before the plan names
// a model, and while there is no engine to load weights for.
func (l *Loader) wantedVersion() (modelVersion, bool) {
	plan, _ := l.plans.current()
	if plan.Model.Model == "" || !l.participates(plan) {
		return modelVersion{}, false
	}
	if plan.Wanted.Version > 0 {
		return modelVersion{model: plan.Model.Model, version: plan.Wanted.Version}, true
	}
	status := l.status.current()
	version := status.Status.Version(plan.Model.Model)
	if version == 0 {
		version = plan.newestServed()
	}
	return modelVersion{model: plan.Model.Model, version: version}, status.Answering
}

// participates reports whether the instance has an engine that needs weights: one that
// responds, or one that is expected to return because its entry in the object store has
// not expired.
func (l *Loader) participates(plan Plan) bool {
	if l.status.current().Answering {
		return true
	}
	return slices.ContainsFunc(plan.Members.Instances, func(member Member) bool { return member.Instance.Name == l.Deployment.Instance.IP })
}

// serveChunk handles a chunk request from another instance.
func (l *Loader) serveChunk(ctx context.Context, request p2p.Request) (p2p.Response, error) {
	response, err := l.fetcher.Serve(ctx, request)
	if plan, _ := l.plans.current(); errors.Is(err, p2p.ErrNotWanted) && plan.Model.Model != "" && !l.participates(plan) {
		return response, p2p.ErrNotParticipating
	}
	return response, err
}
