package peering

import "time"

// Report describes the gateways of a cell to the other cells.
type Report struct {
	Cell      string
	Summaries []Summary
	// Age is the time since the report was created, as known to its sender.
	Age time.Duration
}

// Summary is the part of a gateway's digest that other cells receive.
type Summary struct {
	Name        string
	Incarnation int64
	Ready       bool
	Stopping    bool
	Capacities  []Capacity
}

// Capacity is a gateway's share of a service's endpoints.
type Capacity struct {
	Service string
	// Slots is the number of slots of the endpoints that the gateway owns and that can
	// serve requests, Free the number of them that are not taken.
	Slots int
	Free  int
}

// summary returns the part of the digest for other cells.
func (d *Digest) summary() Summary {
	return Summary{Name: d.Member.Name, Incarnation: d.Member.Incarnation, Ready: d.Ready, Stopping: d.Stopping, Capacities: d.Capacities}
}
