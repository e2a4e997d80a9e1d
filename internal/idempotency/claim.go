package idempotency

// Verdict says what an attempt may do.
type Verdict string

// The verdicts on a claim.
const (
	// Run means that this attempt, and no other, may run.
	Run Verdict = "run"
	// Repeated means that another attempt ran; its result is given.
	Repeated Verdict = "repeated"
	// Unknown means that another attempt may have run or be running.
	Unknown Verdict = "unknown"
	// Mismatch means that the key was used for another body.
	Mismatch Verdict = "mismatch"
	// Unavailable means that the claim could not be stored.
	Unavailable Verdict = "unavailable"
)

// Claim asks to run one attempt of a call.
type Claim struct {
	Key     string
	Attempt string
	Body    string
}

// Decision is the answer to a claim.
type Decision struct {
	Verdict Verdict
	Result  *Result
}

// Update reports how an attempt ended.
type Update struct {
	Key     string
	Attempt string
	Status  Status
	Result  *Result
}
