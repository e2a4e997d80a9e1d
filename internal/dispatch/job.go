package dispatch

import (
	"time"
)

// Job is a request that looks for an endpoint. It must not be changed while it
// waits.
type Job struct {
	ID      string
	Service string
	// Arrived is when the gateway had read the request.
	Arrived time.Time
	// Deadline is when the caller, or the route, gives up.
	Deadline time.Time
	// TargetTime is when the answer, or a stream's first event, turns late. For a
	// caller that comes back after a refusal it may have passed.
	TargetTime time.Time
	// Priority ranks the job; 0 is the most urgent.
	Priority int
	// Model is empty for plain services.
	Model string
	// Version is the version of the model that must answer, as that of a stream that
	// goes on; 0 means any that is allowed now.
	Version int64
	// Regions are the only ones whose endpoints may get the request; empty means
	// all.
	Regions   []string
	Workspace string
	// PromptTokens and AnswerTokens are the expected sizes.
	PromptTokens int
	AnswerTokens int
	// Tried are the endpoints that the request was sent to.
	Tried []string
}

// late reports whether the job cannot be in time any more.
func (j *Job) late(now time.Time) bool { return !j.TargetTime.After(now) }

// Refusal says why a job gets no endpoint.
type Refusal struct {
	Reason Reason
	// RetryAfter is when room is expected, counted from now.
	RetryAfter time.Duration
	// QueueTime is how long the job waited.
	QueueTime time.Duration
}

// Reason is why a job gets no endpoint.
type Reason string

// The reasons of refusals.
const (
	// NoEndpoint means that no endpoint may take the job.
	NoEndpoint Reason = "noEndpoint"
	// Overloaded means that every endpoint has as much work as it can do in time.
	Overloaded Reason = "overloaded"
	// CallerLeft means that the caller left while the job waited.
	CallerLeft Reason = "callerLeft"
)
