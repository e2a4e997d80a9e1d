package ticketstore

import (
	"fmt"

	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// NumberTakenError reports that another operator's ticket has the number.
type NumberTakenError struct {
	Number   int64
	Operator string
	NextFree int64
}

// Error implements error.
func (e *NumberTakenError) Error() string {
	return fmt.Sprintf("ticket %d was filed by operator %q; nothing of yours was filed; the next free number is %d", e.Number, e.Operator, e.NextFree)
}

// NumberGapError reports a number that would leave a gap.
type NumberGapError struct {
	Number   int64
	NextFree int64
}

// Error implements error.
func (e *NumberGapError) Error() string {
	return fmt.Sprintf("ticket %d would leave a gap; the next free number is %d", e.Number, e.NextFree)
}

// ConflictError reports that another operator changed the same scope meanwhile.
type ConflictError struct {
	Scope    ticket.Scope
	Number   int64
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("operator %q changed %s by ticket %d at the same time; nothing of yours was filed; look at it with \"ticket show %d\" and file again", e.Operator, e.Scope, e.Number, e.Number)
}

// UnknownOutcomeError reports that the store gave no answer, so the ticket may have
// been filed. Filing again with the same operation id is safe.
type UnknownOutcomeError struct {
	OperationID string
	Cause       error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown, the object API gave no answer; file the same ticket again with --operation-id %s: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
