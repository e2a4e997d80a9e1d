package idempotency

import (
	"context"
	"strconv"
	"time"

	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// ownerTimeout is the timeout of a call to the owner of a partition.
	ownerTimeout = 3 * time.Second
	// maxOwners is the number of owners that are called before a process writes
	// a claim itself.
	maxOwners = 2
)

// ClaimRouter sends claims and updates to the owner of the key's partition, the
// process that writes its journal. Set the exported fields before calling
// Register.
type ClaimRouter struct {
	Self      membership.Instance
	Instances *membership.Store
	Control   *controlrpc.Client
	Writer    *Writer
}

// claimsService handles the calls that other processes make to an owner.
type claimsService struct {
	writer *Writer
}

// Claim stores the claim and returns the decision.
func (s *claimsService) Claim(claim *Claim, decision *Decision) error {
	*decision = s.writer.Claim(context.Background(), *claim)
	return nil
}

// Update records how an attempt ended.
func (s *claimsService) Update(update *Update, _ *struct{}) error {
	s.writer.Update(*update)
	return nil
}

// Register registers the Claims service with a server.
func (c *ClaimRouter) Register(server *controlrpc.Server) error {
	return server.Register("Claims", &claimsService{writer: c.Writer})
}

// Run writes pending updates periodically until ctx ends.
func (c *ClaimRouter) Run(ctx context.Context) { c.Writer.Run(ctx) }

// Flush writes pending updates immediately.
func (c *ClaimRouter) Flush(ctx context.Context) { c.Writer.flushUpdates(ctx) }

// owners returns the entries that may write the partition of the key, in order of
// preference.
func (c *ClaimRouter) owners(key string) []membership.Instance {
	return membership.TopRanked("keys/"+strconv.Itoa(PartitionOf(key)), c.Instances.View().Entries(), maxOwners)
}

// Claim sends the claim to the owner of its partition. If no owner responds, this
// process stores the claim itself. That is safe because writes of the journal are
// conditional on its version, and because a claim that an unreachable owner did
// store is recognized by its attempt. If the verdict is Unavailable, the attempt
// is abandoned for good and its claim released.
func (c *ClaimRouter) Claim(ctx context.Context, claim Claim) Decision {
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

func (c *ClaimRouter) call(ctx context.Context, owner membership.Instance, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return c.Control.Call(ctx, owner.ControlAddress, method, args, reply)
}

// Update sends the update to the owner of its partition. If no owner responds,
// this process stores it.
func (c *ClaimRouter) Update(update Update) {
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
