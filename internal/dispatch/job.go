package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/fleet"
)

// Job is a request that looks for an endpoint.
type Job struct {
	ID      string
	Service string
	// Arrived is when the gateway had read the request.
	Arrived time.Time
	// Deadline is when the caller, or the route, gives up.
	Deadline time.Time
	// Objective is when the answer, or a stream's first event, turns late.
	Objective time.Time
	// Model is empty for plain services.
	Model string
	// Version is the version of the model that must answer; 0 means any that is
	// allowed now.
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

// Grant is the permission to send a job to an endpoint. End must be called.
type Grant struct {
	Endpoint   fleet.Endpoint
	dispatcher *Dispatcher
	state      *endpointState
	ended      bool
}

// Refusal says why a job gets no endpoint.
type Refusal struct {
	Reason Reason
	// ComeBack is when room is expected, counted from now.
	ComeBack time.Duration
}

// Reason is why a job gets no endpoint.
type Reason string

// The reasons of refusals.
const (
	// NoEndpoint means that no endpoint may take the job.
	NoEndpoint Reason = "noEndpoint"
	// Overloaded means that every endpoint has as much work as it can do in time.
	Overloaded Reason = "overloaded"
	// TooLate means that the job's deadline passed while it waited.
	TooLate Reason = "tooLate"
	// CallerLeft means that the caller left while the job waited.
	CallerLeft Reason = "callerLeft"
)
