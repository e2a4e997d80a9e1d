package ticketstore

import (
	"fmt"

	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// NumberTakenError reports that the requested number belongs to a ticket that is
// already filed.
type NumberTakenError struct {
	Number   int64
	Operator string
	NextFree int64
}

// Error implements error.
func (e *NumberTakenError) Error() string {
	return fmt.Sprintf("ticket %d is already filed by operator %q; your ticket was not filed; the next free number is %d", e.Number, e.Operator, e.NextFree)
}

// NumberGapError reports that the requested number would leave a gap after the
// last ticket.
type NumberGapError struct {
	Number   int64
	NextFree int64
}

// Error implements error.
func (e *NumberGapError) Error() string {
	return fmt.Sprintf("ticket %d would leave a gap in the ticket numbers; the next free number is %d", e.Number, e.NextFree)
}

// ConflictError reports that another operator concurrently changed the same scope.
type ConflictError struct {
	Scope    ticket.Scope
	Number   int64
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("operator %q concurrently changed %s with ticket %d; your ticket was not filed; review the change with \"ticket show %d\" and file again", e.Operator, e.Scope, e.Number, e.Number)
}

// ContentionError reports that other operators took the next number in each attempt.
type ContentionError struct {
	Attempts int
}

// Error implements error.
func (e *ContentionError) Error() string {
	return fmt.Sprintf("other operators filed tickets first in all %d attempts; your ticket was not filed; file it again", e.Attempts)
}

// UnknownOutcomeError reports that the store did not respond, so the ticket may
// have been filed. Filing it again with the same operation ID is safe.
type UnknownOutcomeError struct {
	OperationID string
	Cause       error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: no response from the object API; file the same ticket again with --operation-id %s: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
