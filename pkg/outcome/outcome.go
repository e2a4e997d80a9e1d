// Package outcome defines the headers and the response body that report to a caller
// whether a request was executed. Callers may import it.
package outcome

// Headers of requests and responses.
const (
	// Header carries the Outcome of a request. Every response other than the complete
	// response of an endpoint has it.
	Header = "Mimosaward-Outcome"
	// RequestIDHeader carries the ID of a request, which is the same on every hop.
	RequestIDHeader = "X-Request-Id"
	// WorkspaceHeader carries the name of the workspace that a request belongs to.
	WorkspaceHeader = "Mimosaward-Workspace"
	// IdempotencyKeyHeader carries the idempotency key of a call that must be
	// executed at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// WeightSetHeader identifies the weight set that a response was generated from.
	WeightSetHeader = "Mimosaward-Weight-Set"
	// ResumeFromHeader carries the number of tokens that the caller has already
	// received.
	ResumeFromHeader = "Mimosaward-Resume-From"
)

// Outcome is the outcome of a request: whether it was executed.
type Outcome string

// The outcomes of a request.
const (
	// Done means that the complete response of the endpoint was returned.
	Done Outcome = "done"
	// NotRun means that the request was definitely not executed, so that a retry is
	// safe.
	NotRun Outcome = "not run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "outcome unknown"
)

// Refusal is the JSON body of every response other than the complete response of an
// endpoint.
type Refusal struct {
	Outcome           Outcome `json:"outcome"`
	Reason            string  `json:"reason"`
	RetryAfterSeconds int     `json:"retryAfterSeconds"`
	RequestID         string  `json:"requestId"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + r.Reason
}
