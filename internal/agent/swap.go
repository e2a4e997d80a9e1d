package agent

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/rollout"
)

const (
	swapPollInterval  = 300 * time.Millisecond
	servedCallTimeout = time.Second
	// maxPredecessorFailures is the number of failed calls after which a
	// predecessor is considered gone.
	maxPredecessorFailures = 3
)

// ServedArgs requests the weight set that an agent's engine serves.
type ServedArgs struct{}

// ServedReply holds the weight set that the engine serves. Number is the number
// of the ticket that assigned the set, and Open reports whether the agent admits
// requests.
type ServedReply struct {
	Set    string
	Number int64
	Open   bool
}

// service implements the RPCs that other agents call.
type service struct {
	agent *Agent
}

// Served returns the weight set that the engine serves.
func (s *service) Served(_ *ServedArgs, reply *ServedReply) error {
	set, number, accepting := s.agent.served.current()
	reply.Set, reply.Number, reply.Open = set.String(), number, accepting
	return nil
}

// waitForSwapTurn returns true once this endpoint may swap, and false if ctx is
// done. An endpoint that serves no set or admits no requests need not wait.
func (a *Agent) waitForSwapTurn(ctx context.Context, target rolloutTarget) bool {
	if served, _, accepting := a.served.current(); served.IsZero() || !accepting {
		return ctx.Err() == nil
	}
	failures := map[string]int{}
	for ctx.Err() == nil {
		if a.maySwap(ctx, target, failures) {
			return true
		}
		a.Log.Emit(event.SwapWaiting, event.Fields{"set": target.set.String()})
		concurrency.Sleep(ctx, swapPollInterval)
	}
	return false
}

// maySwap reports whether the nearest predecessor that is not gone, if there is
// one, has completed its swap: it admits requests and serves the target, or the
// set of a newer ticket.
func (a *Agent) maySwap(ctx context.Context, target rolloutTarget, failures map[string]int) bool {
	predecessors := rollout.Predecessors(target.set.String(), a.base.Self.Name, a.poolMembers(), target.pool.MaxSwapping)
	for _, predecessor := range predecessors {
		if failures[predecessor.Name] >= maxPredecessorFailures {
			continue
		}
		reply, err := a.callServed(ctx, predecessor)
		if err != nil {
			failures[predecessor.Name]++
			return false
		}
		failures[predecessor.Name] = 0
		return reply.Open && (reply.Set == target.set.String() || reply.Number > target.ticketNumber)
	}
	return true
}

func (a *Agent) callServed(ctx context.Context, peer membership.Instance) (ServedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, servedCallTimeout)
	defer cancel()
	var reply ServedReply
	if err := a.base.Control.Call(ctx, peer.ControlAddress, "Agent.Served", &ServedArgs{}, &reply); err != nil {
		return ServedReply{}, err
	}
	return reply, nil
}

// agentStatus is the agent's part of the admin server's status page.
type agentStatus struct {
	Set        string `json:"set"`
	Number     int64  `json:"number"`
	Open       bool   `json:"open"`
	InFlight   int    `json:"inFlight"`
	Limit      int    `json:"limit"`
	Cold       bool   `json:"cold"`
	ChunkBytes int64  `json:"chunkBytes"`
}

func (a *Agent) status() agentStatus {
	set, number, accepting := a.served.current()
	load := a.gate.Load()
	return agentStatus{
		Set: set.String(), Number: number, Open: accepting, InFlight: load.InFlight, Limit: load.Limit, Cold: load.Cold,
		ChunkBytes: int64(a.store.Used()),
	}
}
