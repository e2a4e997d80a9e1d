package idempotency

import "time"

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

// decide applies a claim to the journal and reports whether it changed it.
func (j *journal) decide(claim Claim, now time.Time) (Decision, bool) {
	key := hashKey(claim.Key)
	held, found := j.Entries[key]
	switch {
	case found && held.Body != claim.Body:
		return Decision{Verdict: Mismatch}, false
	case found && held.Status == Done:
		return Decision{Verdict: Repeated, Result: held.Result}, false
	case found && held.Status == Claimed && held.Attempt == claim.Attempt:
		return Decision{Verdict: Run}, false
	case found && held.Status == Claimed:
		return Decision{Verdict: Unknown}, false
	}
	if !j.prune(now) {
		return Decision{Verdict: Unavailable}, false
	}
	j.Entries[key] = Entry{Attempt: claim.Attempt, Body: claim.Body, Status: Claimed, At: now}
	return Decision{Verdict: Run}, true
}

// apply records how an attempt ended. Only the attempt that holds the key may
// change it.
func (j *journal) apply(update Update) {
	key := hashKey(update.Key)
	held, found := j.Entries[key]
	if !found || held.Attempt != update.Attempt || held.Status != Claimed {
		return
	}
	held.Status = update.Status
	held.Result = update.Result
	if held.Result != nil && len(held.Result.Body) > maxResultBytes {
		held.Result = &Result{Status: update.Result.Status, ContentType: update.Result.ContentType}
	}
	j.Entries[key] = held
}
