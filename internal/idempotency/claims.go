package idempotency

import (
	"context"
	"strconv"
	"time"

	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// ownerTimeout bounds the call of the process that writes a range.
	ownerTimeout = 3 * time.Second
	// ownerTries is the number of owners that are asked before a process
	// writes a claim itself.
	ownerTries = 2
)

// Claims finds the process that writes the range of a key and asks it. Set the
// exported fields before Register.
type Claims struct {
	Self    membership.Instance
	Roster  *membership.Store
	Control *controlrpc.Client
	Writer  *Writer
}

// claimsService answers the calls of other processes.
type claimsService struct {
	writer *Writer
}

// Claim stores a claim.
func (s *claimsService) Claim(claim *Claim, decision *Decision) error {
	*decision = s.writer.Claim(context.Background(), *claim)
	return nil
}

// Update records how an attempt ended.
func (s *claimsService) Update(update *Update, _ *struct{}) error {
	s.writer.Update(*update)
	return nil
}

// Register adds the calls to a server.
func (c *Claims) Register(server *controlrpc.Server) error {
	return server.Register("Claims", &claimsService{writer: c.Writer})
}

// Run writes waiting updates until ctx ends.
func (c *Claims) Run(ctx context.Context) { c.Writer.Run(ctx) }

// Flush writes waiting updates now.
func (c *Claims) Flush(ctx context.Context) { c.Writer.flushUpdates(ctx) }

// owners returns the entries that write the range of the key, the preferred
// one first.
func (c *Claims) owners(key string) []membership.Instance {
	return membership.Top("keys/"+strconv.Itoa(RangeOf(key)), c.Roster.View().Entries(), ownerTries)
}

// Claim asks the range's owner to store the claim. If no owner answers, this
// process stores it itself; the journal's version keeps that safe, and an
// attempt recognizes a claim that an unreachable owner did store. If the verdict
// is Unavailable the attempt is given up for good, and its claim released.
func (c *Claims) Claim(ctx context.Context, claim Claim) Decision {
	release := &Update{Key: claim.Key, Attempt: claim.Attempt, Status: Released}
	for _, owner := range c.owners(claim.Key) {
		if owner.Name == c.Self.Name {
			break
		}
		var decision Decision
		if err := c.call(ctx, owner, "Claims.Claim", &claim, &decision); err != nil {
			continue
		}
		if decision.Verdict == Unavailable {
			_ = c.call(ctx, owner, "Claims.Update", release, &struct{}{})
		}
		return decision
	}
	decision := c.Writer.Claim(ctx, claim)
	if decision.Verdict == Unavailable {
		c.Writer.Update(*release)
	}
	return decision
}

func (c *Claims) call(ctx context.Context, owner membership.Instance, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return c.Control.Call(ctx, owner.ControlAddress, method, args, reply)
}

// Update tells the range's owner how an attempt ended.
func (c *Claims) Update(update Update) {
	for _, owner := range c.owners(update.Key) {
		if owner.Name == c.Self.Name {
			break
		}
		if c.call(context.Background(), owner, "Claims.Update", &update, &struct{}{}) == nil {
			return
		}
	}
	c.Writer.Update(update)
}
