package operatorcli

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// pollInterval is the interval at which "ticket file" polls for acknowledgements.
const pollInterval = 200 * time.Millisecond

// ticketFileArgument is the positional argument that names a ticket file.
type ticketFileArgument struct {
	File flags.Filename `positional-arg-name:"FILE" required:"yes"`
}

func (a ticketFileArgument) read() (*ticket.Ticket, error) {
	text, err := os.ReadFile(string(a.File))
	if err != nil {
		return nil, errors.Wrap(err, "read ticket")
	}
	return ticket.Parse(string(a.File), text)
}

// ticketCheckCommand checks a ticket file.
type ticketCheckCommand struct {
	program *Program
	Args    ticketFileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (t *ticketCheckCommand) Execute([]string) error {
	parsed, err := t.Args.read()
	if err != nil {
		return err
	}
	t.program.printf("%s: ok, changes %d scopes\n", t.Args.File, len(parsed.Scopes()))
	return nil
}

// ticketFileCommand files a ticket and waits until it is in force.
type ticketFileCommand struct {
	program     *Program
	OperationID string             `long:"operation-id" value-name:"ID" description:"Operation ID of an earlier filing whose outcome is unknown; the ticket is filed at most once per ID"`
	Wait        time.Duration      `long:"wait" value-name:"DURATION" default:"10s" description:"Longest time to wait until the ticket is in force"`
	Args        ticketFileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (t *ticketFileCommand) Execute([]string) error {
	parsed, err := t.Args.read()
	if err != nil {
		return err
	}
	sess, err := t.program.openSession()
	if err != nil {
		return err
	}
	operationID := t.OperationID
	if operationID == "" {
		operationID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+t.Wait)
	defer cancel()
	record, err := sess.tickets.File(ctx, *parsed, operationID)
	if err != nil {
		return err
	}
	t.program.printf("ticket %d filed\n", record.Ticket.Number)
	return t.waitAccepted(ctx, sess, record.Ticket.Number)
}

// waitAccepted waits until a majority of the availability zones has acknowledged
// the ticket, at most t.Wait. It returns an error if the wait times out.
func (t *ticketFileCommand) waitAccepted(ctx context.Context, sess *session, number int64) error {
	ctx, cancel := context.WithTimeout(ctx, t.Wait)
	defer cancel()
	for {
		view, viewErr := sess.refreshMembers(ctx)
		acks, ackErr := sess.tickets.Acks(ctx)
		if viewErr == nil && ackErr == nil && ticketstore.InForce(number, view.Zones(), acks) {
			t.program.printf("ticket %d accepted: in force in %s\n", number, acknowledgingZones(number, view.Zones(), acks))
			return nil
		}
		if !concurrency.Sleep(ctx, pollInterval) {
			return errors.Newf("ticket %d is filed and will be applied, but a majority of the availability zones has not acknowledged it; check again with \"ticket show %d\"", number, number)
		}
	}
}

// ticketShowCommand shows a ticket and the zones that have acknowledged it.
type ticketShowCommand struct {
	program *Program
	Args    struct {
		Number int64 `positional-arg-name:"NUMBER" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (t *ticketShowCommand) Execute([]string) error {
	sess, err := t.program.openSession()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	record, err := sess.tickets.Get(ctx, t.Args.Number)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(record.Ticket, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	view, err := sess.refreshMembers(ctx)
	if err != nil {
		return err
	}
	acks, err := sess.tickets.Acks(ctx)
	if err != nil {
		return err
	}
	t.program.printf("filed %s\n%s\n", record.FiledAt.Format(time.RFC3339), text)
	t.program.printAcks(t.Args.Number, view.Zones(), acks)
	return nil
}
