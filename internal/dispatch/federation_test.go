package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// newBusyFederation returns the federation of a gateway whose only engine could take a job,
// but later than the engine that the gateway "lender" of another cell reports.
func newBusyFederation(acquireRemote func(context.Context, peering.Member, *Job) (*Grant, Refusal, error)) *Federation {
	endpoints := endpointsIn("a")
	endpoints[0].Weights = []clusterstate.ModelVersion{{Model: "draft", Version: 1}}
	store := clusterstate.NewStore()
	store.SetEndpoints(endpoints, informer.Position{Revision: 1})
	service := configuration.Service{Name: "drafts", Engine: &configuration.Engine{
		Slots: 4, TokensPerEvent: 5, StepTime: 10 * time.Millisecond, PrefillRate: 20_000, MeanPromptTokens: 500, MeanResponseTokens: 50,
	}}
	local := &Dispatcher{
		Self: peering.Member{Name: "borrower", AvailabilityZone: "a", Region: "a"}, View: store.View,
		Service:    func(string) (*configuration.Service, bool) { return &service, true },
		MinVersion: func(string) int64 { return 0 }, Peers: func() []peering.Peer { return nil }, CellEndpoints: wholeFleet,
	}
	remote := peering.Peer{ReceivedAt: time.Now(), Digest: peering.Digest{
		Member: peering.Member{Name: "lender", AvailabilityZone: "b", Region: "b"}, Ready: true,
		Capacities: []peering.Capacity{{Service: "drafts", Endpoints: 1, Slots: 4, Free: 4}},
	}}
	federation := &Federation{Local: local, Remotes: func() []peering.Peer { return []peering.Peer{remote} }, AcquireRemote: acquireRemote}
	local.Acquire(context.Background(), newDraftJob(40_000))
	return federation
}

func newDraftJob(promptTokens int) *Job {
	now := time.Now()
	return &Job{Service: "drafts", Model: "draft", Arrived: now, Deadline: now.Add(time.Minute), TargetTime: now.Add(time.Minute), PromptTokens: promptTokens, ResponseTokens: 50}
}

// Guards against an answer that is neither a grant nor a refusal when the caller leaves while
// another cell is asked: the gateway that used it ended with all its requests. A grant for a
// caller that left must be released, and the other cell's gateway stays a lender.
func TestCallerLeavesWhileAnotherCellIsAsked(t *testing.T) {
	answers := map[string]func(grant *Grant) (*Grant, Refusal, error){
		"granted late": func(grant *Grant) (*Grant, Refusal, error) { return grant, Refusal{}, nil },
		"refused":      func(*Grant) (*Grant, Refusal, error) { return nil, Refusal{Reason: Overloaded}, nil },
		"left":         func(*Grant) (*Grant, Refusal, error) { return nil, Refusal{Reason: ClientDisconnected}, nil },
		"unreachable":  func(*Grant) (*Grant, Refusal, error) { return nil, Refusal{}, errors.New("lender is unreachable") },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				var outcomes []Outcome
				asked := 0
				federation := newBusyFederation(func(context.Context, peering.Member, *Job) (*Grant, Refusal, error) {
					asked++
					leave()
					return answer(NewRemoteGrant(clusterstate.Endpoint{ID: "remote"}, 1, Decision{}, func(outcome Outcome) { outcomes = append(outcomes, outcome) }))
				})
				grant, refusal := federation.Acquire(ctx, newDraftJob(500))
				if asked != 1 {
					t.Fatalf("another cell was asked %d times, want once", asked)
				}
				if grant != nil || refusal.Reason != ClientDisconnected {
					t.Errorf("grant %v and refusal %v, want the refusal %s", grant, refusal, ClientDisconnected)
				}
				if name == "granted late" && (len(outcomes) != 1 || outcomes[0] != Released) {
					t.Errorf("outcomes of the late grant are %v, want only its release", outcomes)
				}
				if lenders := federation.candidates(newDraftJob(500)); len(lenders) != 1 || lenders[0].free != 4 {
					t.Errorf("lenders for the next job are %+v, want the same one with its 4 free slots", lenders)
				}
			})
		})
	}
}

// Guards against a panic in one decision that leaves the dispatcher locked: every later
// request of the gateway would wait forever.
func TestPanicLeavesDispatcherUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		federation := newBusyFederation(nil)
		local := federation.Local
		service := local.Service
		local.Service = func(string) (*configuration.Service, bool) { panic("broken") }
		func() {
			defer func() { _ = recover() }()
			local.AwaitEndpoint(t.Context(), newDraftJob(500))
		}()
		if !local.mu.TryLock() {
			t.Fatal("the dispatcher is locked after a decision that panicked")
		}
		local.mu.Unlock()
		local.Service = service
		if grant, refusal := local.AwaitEndpoint(t.Context(), newDraftJob(500)); grant == nil {
			t.Errorf("the next job was refused with %v, want a grant", refusal)
		}
	})
}
