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

// pollInterval is how often "ticket file" looks for acknowledgements.
const pollInterval = 200 * time.Millisecond

// ticketArgument is the file argument of a subcommand.
type ticketArgument struct {
	File flags.Filename `positional-arg-name:"FILE" required:"yes"`
}

func (a ticketArgument) read() (*ticket.Ticket, error) {
	text, err := os.ReadFile(string(a.File))
	if err != nil {
		return nil, errors.Wrap(err, "read ticket")
	}
	return ticket.Parse(string(a.File), text)
}

// ticketCheck checks a ticket file.
type ticketCheck struct {
	operator *Operator
	Args     ticketArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (t *ticketCheck) Execute([]string) error {
	parsed, err := t.Args.read()
	if err != nil {
		return err
	}
	t.operator.printf("%s: ok, changes %d scopes\n", t.Args.File, len(parsed.Scopes()))
	return nil
}

// ticketFile files a ticket and waits until it is in force.
type ticketFile struct {
	operator    *Operator
	OperationID string         `long:"operation-id" value-name:"ID" description:"Repeat an earlier filing whose outcome is unknown; the ticket is filed once"`
	Wait        time.Duration  `long:"wait" value-name:"DURATION" default:"10s" description:"How long to wait until the ticket is in force"`
	Args        ticketArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (t *ticketFile) Execute([]string) error {
	parsed, err := t.Args.read()
	if err != nil {
		return err
	}
	opened, err := t.operator.open()
	if err != nil {
		return err
	}
	operationID := t.OperationID
	if operationID == "" {
		operationID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+t.Wait)
	defer cancel()
	record, err := opened.desk.File(ctx, *parsed, operationID)
	if err != nil {
		return err
	}
	t.operator.printf("ticket %d filed\n", record.Ticket.Number)
	return t.await(ctx, opened, record.Ticket.Number)
}

// await waits until a majority of the availability zones acknowledged the
// ticket.
func (t *ticketFile) await(ctx context.Context, opened *session, number int64) error {
	ctx, cancel := context.WithTimeout(ctx, t.Wait)
	defer cancel()
	for {
		view, viewErr := opened.view(ctx)
		acks, ackErr := opened.desk.Acks(ctx)
		if viewErr == nil && ackErr == nil && ticketstore.InForce(number, view.Zones(), acks) {
			t.operator.printf("ticket %d accepted: in force in %s\n", number, holders(number, view.Zones(), acks))
			return nil
		}
		if !concurrency.Sleep(ctx, pollInterval) {
			return errors.Newf("ticket %d is filed and will be applied, but a majority of the availability zones has not acknowledged it; look again with \"ticket show %d\"", number, number)
		}
	}
}

// ticketShow shows a ticket and where it is in force.
type ticketShow struct {
	operator *Operator
	Args     struct {
		Number int64 `positional-arg-name:"NUMBER" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (t *ticketShow) Execute([]string) error {
	opened, err := t.operator.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	record, err := opened.desk.Get(ctx, t.Args.Number)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(record.Ticket, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	view, err := opened.view(ctx)
	if err != nil {
		return err
	}
	acks, err := opened.desk.Acks(ctx)
	if err != nil {
		return err
	}
	t.operator.printf("filed %s\n%s\n", record.FiledAt.Format(time.RFC3339), text)
	t.operator.showAcks(t.Args.Number, view.Zones(), acks)
	return nil
}
