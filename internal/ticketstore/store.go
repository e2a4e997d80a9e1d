package ticketstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	// checkpointInterval is the minimum number of tickets between two checkpoints.
	checkpointInterval = 64
	// maxFileAttempts is the maximum number of attempts to file a ticket while the
	// store is unavailable or other writers win the race for a number.
	maxFileAttempts = 6
	retryInterval   = 300 * time.Millisecond
)

// Store files and reads tickets. Set the field before the first call. The methods
// are safe for concurrent use.
type Store struct {
	Objects *platformclient.ObjectAPI
}

// ReadResult is the result of Load or Watch: the entries that were read, the ticket
// number up to which they were read, and the store revision from which the next
// watch must continue.
type ReadResult struct {
	UpTo     int64
	Entries  []desiredstate.Entry
	Revision int64
}

// Load reads the whole configuration: the checkpoint and the tickets after it.
func (s *Store) Load(ctx context.Context) (ReadResult, error) {
	stored, _, err := s.readCheckpoint(ctx)
	if err != nil {
		return ReadResult{}, err
	}
	entries, err := s.readParts(ctx, stored)
	if err != nil {
		return ReadResult{}, err
	}
	result := ReadResult{UpTo: stored.UpTo, Entries: entries}
	page, err := s.Objects.ListAll(ctx, TicketPrefix, TicketKey(stored.UpTo))
	if err != nil {
		return ReadResult{}, err
	}
	result.Revision = page.Revision
	for _, object := range page.Objects {
		if err := result.add(object); err != nil {
			return ReadResult{}, err
		}
	}
	return result, nil
}

// add appends the entries of a stored ticket. Ticket numbers have no gaps, since
// each ticket is filed under the number after the last.
func (r *ReadResult) add(object platformclient.Object) error {
	record, err := decodeRecord(object)
	if err != nil {
		return err
	}
	if record.Ticket.Number <= r.UpTo {
		return nil
	}
	if record.Ticket.Number != r.UpTo+1 {
		return errors.Newf("gap in the stored tickets: ticket %d follows ticket %d", record.Ticket.Number, r.UpTo)
	}
	r.UpTo = record.Ticket.Number
	r.Entries = append(r.Entries, desiredstate.EntriesFromTicket(&record.Ticket)...)
	return nil
}

// Watch waits for at most wait for tickets after the given revision and returns
// their entries. upTo is the last ticket that the caller has.
func (s *Store) Watch(ctx context.Context, upTo, revision int64, wait time.Duration) (ReadResult, error) {
	page, err := s.Objects.Watch(ctx, TicketPrefix, revision, wait)
	if err != nil {
		return ReadResult{}, err
	}
	result := ReadResult{UpTo: upTo, Revision: page.Revision}
	for _, object := range page.Objects {
		if err := result.add(object); err != nil {
			return ReadResult{}, err
		}
	}
	return result, nil
}

// Get returns a stored ticket.
func (s *Store) Get(ctx context.Context, number int64) (Record, error) {
	object, err := s.Objects.Get(ctx, TicketKey(number))
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(object)
}

// File stores the ticket under its number, or under the next free number if it has
// none, and returns the stored record. The errors are NumberTakenError,
// NumberGapError, ConflictError, ContentionError and UnknownOutcomeError. All but the last
// mean that the ticket was not filed.
func (s *Store) File(ctx context.Context, t ticket.Ticket, operationID string) (Record, error) {
	record := Record{OperationID: operationID, FiledAt: time.Now().UTC(), Ticket: t}
	attempt := &attempt{requestedNumber: t.Number, record: record, baseNumber: noBase}
	var lastErr error
	conflicts := 0
	for range maxFileAttempts {
		filed, err := s.tryFile(ctx, attempt)
		if !errors.Is(err, platformclient.ErrUnavailable) && !errors.Is(err, platformclient.ErrConflict) {
			return filed, err
		}
		lastErr = err
		if errors.Is(err, platformclient.ErrConflict) {
			conflicts++
		}
		if !concurrency.Sleep(ctx, retryInterval) {
			break
		}
	}
	if conflicts == maxFileAttempts {
		return Record{}, &ContentionError{Attempts: conflicts}
	}
	return Record{}, &UnknownOutcomeError{OperationID: operationID, Cause: lastErr}
}

// noBase is the baseNumber of an attempt that has not read the store yet.
const noBase = -1

// attempt is the state of filing one ticket, across retries.
type attempt struct {
	record Record
	// requestedNumber is the number that the operator requested, or 0 for the next
	// free number.
	requestedNumber int64
	// baseNumber is the number of the newest ticket when the attempt first read the
	// store. Later tickets were filed concurrently.
	baseNumber int64
}

// tryFile reads the newest tickets and creates the next one. A stored record with
// the same operation ID is the result of an earlier try, and tryFile returns it.
func (s *Store) tryFile(ctx context.Context, a *attempt) (Record, error) {
	stored, _, err := s.readCheckpoint(ctx)
	if err != nil {
		return Record{}, err
	}
	// An operator may repeat an operation long after its ticket was filed, so the first try
	// reads all tickets. Later ones read those that were filed since.
	page, err := s.Objects.ListAll(ctx, TicketPrefix, TicketKey(max(0, a.baseNumber)))
	if err != nil {
		return Record{}, err
	}
	newest := max(stored.UpTo, a.baseNumber)
	for _, object := range page.Objects {
		earlier, err := decodeRecord(object)
		if err != nil {
			return Record{}, err
		}
		if earlier.OperationID == a.record.OperationID {
			return earlier, nil
		}
		newest = max(newest, earlier.Ticket.Number)
		if err := a.checkRace(earlier.Ticket); err != nil {
			return Record{}, err
		}
	}
	if a.baseNumber == noBase {
		a.baseNumber = newest
	}
	return s.createNext(ctx, a, newest+1)
}

// createNext creates the ticket under the number next. It fails if the operator
// requested another number.
func (s *Store) createNext(ctx context.Context, a *attempt, next int64) (Record, error) {
	switch {
	case a.requestedNumber > next:
		return Record{}, &NumberGapError{Number: a.requestedNumber, NextFree: next}
	case a.requestedNumber > 0 && a.requestedNumber < next:
		return Record{}, s.numberTaken(ctx, a.requestedNumber, next)
	}
	record := a.record
	record.Ticket.Number = next
	if _, err := s.Objects.Put(ctx, TicketKey(next), 0, record); err != nil {
		return Record{}, err
	}
	return record, nil
}

// checkRace returns a ConflictError if later, a stored ticket, was filed after the
// attempt began and changes one of the same scopes. It accepts every ticket with a
// requested number.
func (a *attempt) checkRace(later ticket.Ticket) error {
	if a.requestedNumber != 0 || a.baseNumber == noBase || later.Number <= a.baseNumber {
		return nil
	}
	for _, scope := range a.record.Ticket.Scopes() {
		for _, laterScope := range later.Scopes() {
			if scope == laterScope {
				return &ConflictError{Scope: scope, Number: later.Number, Operator: later.Operator}
			}
		}
	}
	return nil
}

// numberTaken returns the error for a requested number that is already filed.
func (s *Store) numberTaken(ctx context.Context, number, next int64) error {
	existing, err := s.Get(ctx, number)
	if err != nil {
		return err
	}
	return &NumberTakenError{Number: number, Operator: existing.Ticket.Operator, NextFree: next}
}

func decodeRecord(object platformclient.Object) (Record, error) {
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "decode %s", object.Key)
	}
	if !isTicketKey(object.Key) || TicketKey(record.Ticket.Number) != object.Key {
		return Record{}, errors.Newf("object %s contains ticket %d, which does not match its key", object.Key, record.Ticket.Number)
	}
	return record, nil
}
