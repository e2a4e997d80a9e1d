package idempotency

// Verdict is the outcome of a claim.
type Verdict string

// The verdicts of a claim.
const (
	// Run means that this attempt may run, and no other may.
	Run Verdict = "run"
	// Repeated means that another attempt has completed; the decision has its
	// result.
	Repeated Verdict = "repeated"
	// Unknown means that another attempt may have run or may be running.
	Unknown Verdict = "unknown"
	// Mismatch means that the key was used with a different body.
	Mismatch Verdict = "mismatch"
	// Unavailable means that the claim was not confirmed as stored, so the attempt
	// must not run.
	Unavailable Verdict = "unavailable"
)

// Claim is a request to run one attempt of a call with an idempotency key.
type Claim struct {
	Key     string
	Attempt string
	// Body is the digest of the request.
	Body string
}

// Decision is the response to a claim. Result is set only if the verdict is
// Repeated.
type Decision struct {
	Verdict Verdict
	Result  *Result
}

// Update records how an attempt ended.
type Update struct {
	Key     string
	Attempt string
	Status  Status
	Result  *Result
}
