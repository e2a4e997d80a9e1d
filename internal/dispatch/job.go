package dispatch

import (
	"time"
)

// Job is a request that needs an endpoint. It must not be changed while it is queued.
type Job struct {
	ID      string
	Service string
	// Arrived is when the gateway had read the whole request.
	Arrived time.Time
	// Deadline is when the client's timeout or the route's timeout expires.
	Deadline time.Time
	// TargetTime is when the response, or a stream's first event, becomes late. It may
	// have passed if the client retries after a refusal.
	TargetTime time.Time
	// Priority ranks the job; 0 is the most urgent.
	Priority int
	// Model is empty for plain services.
	Model string
	// Version is the version of the model that must serve the job, for example to resume
	// a stream; 0 means any version that is currently allowed.
	Version int64
	// Regions are the regions whose endpoints may receive the request; empty means
	// all.
	Regions   []string
	Workspace string
	// PromptTokens and ResponseTokens are the expected numbers of tokens.
	PromptTokens   int
	ResponseTokens int
	// Tried holds the IDs of the endpoints that the request was already sent to.
	Tried []string
	// Immediate is true if the job must not be queued.
	Immediate bool
}

// late reports whether the target time has passed.
func (j *Job) late(now time.Time) bool { return !j.TargetTime.After(now) }

// Refusal reports why a job was not assigned to an endpoint.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which capacity is expected.
	RetryAfter time.Duration
	// QueueTime is how long the job was queued.
	QueueTime time.Duration
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for refusals.
const (
	// NoEndpoint means that no endpoint may take the job.
	NoEndpoint Reason = "noEndpoint"
	// Overloaded means that no endpoint can serve the job in time.
	Overloaded Reason = "overloaded"
	// EndpointLimited means that the endpoints that may take the job take no more requests
	// for now.
	EndpointLimited Reason = "endpointLimited"
	// ClientDisconnected means that the client disconnected while the job was queued.
	ClientDisconnected Reason = "callerLeft"
)

// unservable reports whether no endpoint may take the job soon.
func (r Reason) unservable() bool { return r == NoEndpoint || r == EndpointLimited }
