package gateway

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
)

// startRetry is when to come back to a gateway that knows no configuration yet.
const startRetry = 500 * time.Millisecond

// admit finds the request's route and workspace and checks its limits.
func (f *flight) admit() *refusal {
	if f.configuration == nil {
		return notRun(reasonNotReady, startRetry)
	}
	limits := f.configuration.Limits()
	switch {
	case limits.HeaderBytes > 0 && len(f.http.Request.Header.RawHeaders()) > limits.HeaderBytes:
		return &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "headerTooLarge"}
	case limits.BodyBytes > 0 && len(f.http.Request.Body()) > limits.BodyBytes:
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
	}
	route, found := f.configuration.Match(f.call.Host, f.call.Path)
	if !found {
		return &refusal{status: fasthttp.StatusNotFound, reason: "noRoute"}
	}
	f.route = route
	if f.configuration.KeyRequired() && f.call.APIKey != "" {
		f.workspace, _ = f.configuration.WorkspaceByKey(f.call.APIKey)
	}
	if f.configuration.KeyRequired() && f.workspace == nil && !route.Public {
		return &refusal{status: fasthttp.StatusUnauthorized, reason: "unknownKey"}
	}
	f.setDeadline()
	f.returned = f.gateway.patiences.returned(route.Name, f.call.Timeout)
	return f.setRegions()
}

const reasonNotReady = dispatch.Reason("noConfiguration")

// setDeadline takes the earlier of the caller's and the route's.
func (f *flight) setDeadline() {
	patience := f.route.Timeout
	if f.call.Timeout > 0 && (patience == 0 || f.call.Timeout < patience) {
		patience = f.call.Timeout
	}
	if patience == 0 {
		patience = defaultPatience
	}
	f.deadline = f.arrived.Add(patience)
}

// defaultPatience is for callers and routes that name no time.
const defaultPatience = 30 * time.Second

// setRegions intersects the regions of the route and the workspace.
func (f *flight) setRegions() *refusal {
	f.regions = f.route.Regions
	if f.workspace == nil || len(f.workspace.Regions) == 0 {
		return nil
	}
	if len(f.regions) == 0 {
		f.regions = f.workspace.Regions
		return nil
	}
	f.regions = intersect(f.route.Regions, f.workspace.Regions)
	if len(f.regions) == 0 {
		return notRun(dispatch.NoEndpoint, time.Second)
	}
	return nil
}

func intersect(a, b []string) []string {
	var both []string
	for _, item := range a {
		if slices.Contains(b, item) {
			both = append(both, item)
		}
	}
	return both
}

// left returns the time that is left for the answer.
func (f *flight) left() time.Duration { return time.Until(f.deadline) }

// priority returns the rank of the request, 0 the most urgent.
func (f *flight) priority() int {
	if f.workspace != nil && f.workspace.Priority != nil {
		return *f.workspace.Priority
	}
	return f.route.Priority
}

// job describes the request to the dispatcher.
func (f *flight) job(service string) *dispatch.Job {
	job := &dispatch.Job{
		ID: f.call.ID, Service: service, Arrived: f.arrived, Deadline: f.deadline, TargetTime: f.arrived.Add(f.route.TargetLatency),
		Priority: f.priority(), Regions: f.regions, Model: f.call.Inference.Model, PromptTokens: f.call.Inference.PromptTokens, AnswerTokens: f.call.Inference.ExpectedOutputTokens,
	}
	if f.workspace != nil {
		job.Workspace = f.workspace.Name
	}
	if f.returned {
		// Its objective counts from its first attempt, and has passed.
		job.TargetTime = f.arrived
	}
	if f.route.Kind != configuration.Stream {
		job.Model = ""
	}
	return job
}
