package gateway

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// lenderMember is the gateway of another cell in these tests.
var lenderMember = peering.Member{Name: "lender", Control: "10.0.0.2:8000"}

// withLender runs a test with a gateway that borrows from a lender, which decides with
// acquire after 100 ms.
func withLender(t *testing.T, acquire func() (*dispatch.Grant, dispatch.Refusal), test func(borrower *Gateway, lender *lender)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		l := &lender{log: event.Discard(), acquire: func(context.Context, *dispatch.Job) (*dispatch.Grant, dispatch.Refusal) {
			time.Sleep(100 * time.Millisecond)
			return acquire()
		}}
		server := controlrpc.NewServer()
		if err := server.Register(lendingService, l); err != nil {
			t.Fatal(err)
		}
		listener, err := network.ForProcess(lenderMember.Name).Listen(lenderMember.Control)
		if err != nil {
			t.Fatal(err)
		}
		borrower := &Gateway{Log: event.Discard(), tasks: concurrency.NewGroup(context.Background())}
		dial := network.ForProcess("borrower").Dial
		borrower.controlClient = &controlrpc.Client{Dial: func(_ context.Context, address string) (net.Conn, error) { return dial(address) }}
		borrower.tasks.Go(func(ctx context.Context) { server.Run(ctx, listener) })
		test(borrower, l)
		borrower.controlClient.Close()
		borrower.tasks.Stop()
		borrower.tasks.Wait()
	})
}

func newLentJob() *dispatch.Job {
	return &dispatch.Job{ID: "request", Deadline: time.Now().Add(time.Minute), TargetTime: time.Now().Add(time.Second)}
}

// Guards against a slot that the lender counts until the job's deadline because the caller
// left before the grant arrived.
func TestGrantAfterCallerLeftIsReleasedAtLender(t *testing.T) {
	var outcomes []dispatch.Outcome
	acquire := func() (*dispatch.Grant, dispatch.Refusal) {
		return dispatch.NewRemoteGrant(clusterstate.Endpoint{ID: "engine"}, 1, dispatch.Decision{}, func(outcome dispatch.Outcome) { outcomes = append(outcomes, outcome) }), dispatch.Refusal{}
	}
	withLender(t, acquire, func(borrower *Gateway, lender *lender) {
		ctx, leave := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer leave()
		start := time.Now()
		grant, _, _ := borrower.acquireRemote(ctx, lenderMember, newLentJob())
		if grant != nil || time.Since(start) > 60*time.Millisecond {
			t.Errorf("grant %v after %s, want none as soon as the caller leaves", grant, time.Since(start))
		}
		time.Sleep(outcomeTimeout)
		synctest.Wait()
		if len(outcomes) != 1 || outcomes[0] != dispatch.Released || len(lender.grants) != 0 {
			t.Errorf("outcomes at the lender %v with %d grants left, want only the release", outcomes, len(lender.grants))
		}
	})
}

// Guards against a caller that leaves and thereby fails the requests of other callers for
// which the gateway has asked the same lender.
func TestCallerThatLeavesKeepsConnectionToLender(t *testing.T) {
	acquire := func() (*dispatch.Grant, dispatch.Refusal) {
		return nil, dispatch.Refusal{Reason: dispatch.Overloaded}
	}
	withLender(t, acquire, func(borrower *Gateway, _ *lender) {
		group := concurrency.NewGroup(context.Background())
		group.Go(func(ctx context.Context) {
			if _, refusal, err := borrower.acquireRemote(ctx, lenderMember, newLentJob()); err != nil || refusal.Reason != dispatch.Overloaded {
				t.Errorf("refusal %v, error %v; want the lender's refusal", refusal, err)
			}
		})
		time.Sleep(50 * time.Millisecond)
		ctx, leave := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer leave()
		_, _, _ = borrower.acquireRemote(ctx, lenderMember, newLentJob())
		group.Wait()
	})
}
