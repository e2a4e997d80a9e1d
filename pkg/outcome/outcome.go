// Package outcome owns what a refusal tells the caller: whether the request
// ran. Callers may import it.
package outcome

// Headers that carry the outcome and identify a request.
const (
	// Header carries an Outcome on every response that is not a whole answer.
	Header = "Mimosaward-Outcome"
	// RequestIDHeader identifies one request on every hop.
	RequestIDHeader = "X-Request-Id"
	// WorkspaceHeader names the workspace that a request is made for.
	WorkspaceHeader = "Mimosaward-Workspace"
	// IdempotencyKeyHeader is the idempotency key of a call that must not run twice.
	IdempotencyKeyHeader = "Idempotency-Key"
	// WeightSetHeader names the weight set that an answer was made from.
	WeightSetHeader = "Mimosaward-Weight-Set"
	// ResumeFromHeader gives the number of tokens the caller already holds.
	ResumeFromHeader = "Mimosaward-Resume-From"
)

// Outcome says whether a refused request ran.
type Outcome string

// The outcomes of a request.
const (
	// Done means that the whole answer was given.
	Done Outcome = "done"
	// NotRun means that the request certainly did not run; retry is safe.
	NotRun Outcome = "not run"
	// Unknown means that the request may have run.
	Unknown Outcome = "outcome unknown"
)

// Refusal is the JSON body of every response that is not a whole answer.
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
