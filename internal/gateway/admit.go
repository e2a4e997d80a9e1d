package gateway

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
)

// defaultRetryAfter is the Retry-After of refusals without a better estimate, such as
// those of a gateway that has no configuration yet.
const defaultRetryAfter = 500 * time.Millisecond

// admit determines the request's route, workspace, deadline and regions. It returns a
// refusal if the request exceeds a size limit, matches no route, lacks the required API key or
// has no allowed region.
func (r *request) admit() *refusal {
	if r.configuration == nil {
		return notExecuted(reasonNoConfiguration, defaultRetryAfter)
	}
	limits := r.configuration.Limits()
	switch {
	case limits.HeaderBytes > 0 && len(r.httpCtx.Request.Header.RawHeaders()) > limits.HeaderBytes:
		return &refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "headerTooLarge"}
	case limits.BodyBytes > 0 && r.body.size > limits.BodyBytes:
		// The limit has changed while the body was read.
		return &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	}
	route, ok := r.configuration.Match(r.clientRequest.Host, r.clientRequest.Path)
	if !ok {
		return &refusal{status: fasthttp.StatusNotFound, reason: "noRoute"}
	}
	r.route = route
	if r.configuration.KeyRequired() && r.clientRequest.APIKey != "" {
		r.workspace, _ = r.configuration.WorkspaceByKey(r.clientRequest.APIKey)
	}
	if r.configuration.KeyRequired() && r.workspace == nil && !route.Public {
		return &refusal{status: fasthttp.StatusUnauthorized, reason: "unknownKey"}
	}
	r.setDeadline()
	if !r.gateway.drain.accepts(r.deadline, r.arrived) {
		return notExecuted(reasonStopping, stoppingRetryAfter)
	}
	r.isRetry = r.gateway.retryDetector.observe(route.Name, r.clientRequest.Timeout)
	return r.setRegions()
}

const reasonNoConfiguration = dispatch.Reason("noConfiguration")

// setDeadline sets the deadline from the shorter of the client's and the route's timeout,
// or from defaultTimeout if neither is set.
func (r *request) setDeadline() {
	timeout := r.route.Timeout
	if r.clientRequest.Timeout > 0 && (timeout == 0 || r.clientRequest.Timeout < timeout) {
		timeout = r.clientRequest.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.arrived.Add(timeout)
}

// defaultTimeout applies if neither the client nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// setRegions sets the allowed regions to the intersection of the route's and the
// workspace's regions. An empty list allows all regions. It returns a refusal if both are
// restricted and have no region in common.
func (r *request) setRegions() *refusal {
	r.regions = r.route.Regions
	if r.workspace == nil || len(r.workspace.Regions) == 0 {
		return nil
	}
	if len(r.regions) == 0 {
		r.regions = r.workspace.Regions
		return nil
	}
	r.regions = intersect(r.route.Regions, r.workspace.Regions)
	if len(r.regions) == 0 {
		return notExecuted(dispatch.NoEndpoint, time.Second)
	}
	return nil
}

func intersect(a, b []string) []string {
	var common []string
	for _, item := range a {
		if slices.Contains(b, item) {
			common = append(common, item)
		}
	}
	return common
}

// remaining returns the time left until the deadline.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// priority returns the priority of the workspace if it has one, otherwise that of the
// route. 0 is the most urgent.
func (r *request) priority() int {
	if r.workspace != nil && r.workspace.Priority != nil {
		return *r.workspace.Priority
	}
	return r.route.Priority
}

// newJob returns the dispatcher's job for the request to a service.
func (r *request) newJob(service string) *dispatch.Job {
	job := &dispatch.Job{
		ID: r.clientRequest.ID, Service: service, Arrived: r.arrived, Deadline: r.deadline, TargetTime: r.arrived.Add(r.route.TargetLatency),
		Priority: r.priority(), Regions: r.regions, Model: r.clientRequest.Inference.Model, PromptTokens: r.clientRequest.Inference.PromptTokens, ResponseTokens: r.clientRequest.Inference.ExpectedOutputTokens,
	}
	if r.workspace != nil {
		job.Workspace = r.workspace.Name
	}
	if r.isRetry {
		// The target time is relative to the client's first attempt and has passed.
		job.TargetTime = r.arrived
	}
	if r.route.Kind != configuration.Stream {
		job.Model = ""
	}
	return job
}
