package peering

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// Report describes the gateways of a cell to the other cells.
type Report struct {
	Cell      string
	Summaries []Summary
	// Quarantine is what the sender knows about crashes of engines.
	Quarantine quarantine.Digest
	// Announced holds what endpoints said to the gateways of the cell.
	Announced []Announced
	// Age is the time since the report was created, as known to its sender.
	Age time.Duration
}

// Summary is the part of a gateway's digest that other cells receive.
type Summary struct {
	Name        string
	Incarnation int64
	Uptime      time.Duration
	Ready       bool
	Stopping    bool
	Capacities  []Capacity
	ReadsStore  bool
	// Copies describes the gateway's copy of each kind of object.
	Copies map[string]CopyState
	// Configuration is the version of the configuration in force, 0 if there is none.
	Configuration int64
	// WroteCheckpoint is the time since the gateway wrote the checkpoint, 0 if it never did.
	WroteCheckpoint time.Duration
}

// Capacity is a gateway's share of a service's endpoints.
type Capacity struct {
	Service string
	// Endpoints is the number of endpoints that the gateway owns and that can serve
	// requests, Slots the number of their slots, and Free the number of slots that it
	// would grant to other cells.
	Endpoints int
	Slots     int
	Free      int
	// PendingPrefill is the number of prompt tokens at these endpoints whose response has
	// not started.
	PendingPrefill int
}

// summary returns the part of the digest for other cells.
func (d *Digest) summary() Summary {
	return Summary{Name: d.Member.Name, Incarnation: d.Member.Incarnation, Uptime: d.Uptime, Ready: d.Ready, Stopping: d.Stopping, Capacities: d.Capacities, ReadsStore: d.ReadsStore, Copies: d.Copies, Configuration: d.Configuration, WroteCheckpoint: d.WroteCheckpoint}
}
