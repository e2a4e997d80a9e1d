package capacity

import "fmt"

// model holds the slopes fitted to the measurements.
type model struct {
	all       []Measurement
	leafBytes line
	// fullRelay is the bytes a second of a relay with all its children, at the
	// largest fleet measured.
	fullRelay   float64
	readerBytes line
	storeReads  line
	storeWrites line
	afterOutage line
	calls       line
	spread      line
	// keyBytes, keyHeap and takeover are what the history of one range of
	// idempotency keys costs.
	keyBytes line
	keyHeap  line
	takeover line
	costs    map[string]float64
	memory   map[string]float64
}

// fittedZones is the number of zones of the fleets that the lines are fitted
// to; fleets with other numbers of zones have other intercepts.
const fittedZones = 8

func newModel(all []Measurement) *model {
	m := &model{all: all, costs: map[string]float64{}, memory: map[string]float64{}}
	fitTickets := func(value func(Measurement) float64) line {
		var points []point
		for _, one := range all {
			if one.Figure == "tickets" && one.Zones == fittedZones {
				points = append(points, point{size: one.Processes, value: value(one)})
			}
		}
		return fit(points)
	}
	m.leafBytes = fitTickets(func(one Measurement) float64 { return one.LeafBytesPerSecond })
	for _, one := range all {
		if one.Figure == "tickets" && one.Zones == fittedZones && one.Processes == m.leafBytes.largest {
			m.fullRelay = one.RelayBytesPerSecond
		}
	}
	m.readerBytes = fitTickets(func(one Measurement) float64 { return one.ReaderBytesPerSecond })
	m.storeReads = fitTickets(func(one Measurement) float64 { return one.StoreReadsPerSecond })
	m.storeWrites = fitTickets(func(one Measurement) float64 { return one.StoreWritesPerSecond })
	m.afterOutage = fitTickets(func(one Measurement) float64 { return one.StoreReadsAfterOutagePerSecond })
	m.calls = fitTickets(func(one Measurement) float64 { return one.MaxCallsPerSecond })
	m.spread = fitTickets(func(one Measurement) float64 { return one.PropagationSeconds })
	fitKeys := func(value func(Measurement) float64) line {
		var points []point
		for _, one := range all {
			if one.Figure == "idempotencyJournal" {
				points = append(points, point{size: one.Keys, value: value(one)})
			}
		}
		return fit(points)
	}
	m.keyBytes = fitKeys(func(one Measurement) float64 { return one.BytesPerKey })
	m.keyHeap = fitKeys(func(one Measurement) float64 { return one.HeapBytes })
	m.takeover = fitKeys(func(one Measurement) float64 { return one.TakeoverReads })
	for _, one := range all {
		switch one.Figure {
		case "cost":
			m.costs[one.Name] = one.Nanoseconds / 1e9
		case "memory":
			m.memory[one.Name] = one.BytesPerItem
		}
	}
	return m
}

// today returns the measurement at today's size.
func (m *model) today() Measurement {
	for _, one := range m.all {
		if one.Figure == "tickets" && one.Processes == CurrentSize().Processes() {
			return one
		}
	}
	return Measurement{}
}

// fanOut is the number of children of a relay, as package relay builds the
// tree; beats is the number of pulls a second.
const (
	fanOut = 8
	beats  = 1
)

// changesPerRestart is the number of changes of the instance list that a restart
// makes.
const changesPerRestart = 2

// slopes lists the fitted lines.
func (m *model) slopes() string {
	text := "## Slopes\n\nFitted to the fleets with 8 zones of \"make bench\" (TestTickets), against the\nnumber of processes.\n\n"
	text += header("what", "at 0", "for each process", "measured from", "to")
	for _, fitted := range []struct {
		name string
		line line
	}{
		{"control bytes a second, leaf", m.leafBytes},
		{"control bytes a second, reader", m.readerBytes},
		{"store reads a second", m.storeReads},
		{"store writes a second", m.storeWrites},
		{"store reads a second after an outage", m.afterOutage},
		{"seconds until a ticket is everywhere", m.spread},
	} {
		text += row(fitted.name, number(fitted.line.intercept), fmt.Sprintf("%.5f", fitted.line.slope), number(fitted.line.smallest), number(fitted.line.largest))
	}
	return text + "\n"
}

// roles lists what each rank of process needs for control.
func (m *model) roles() string {
	planned, today := PlannedSize(), CurrentSize()
	text := "## Control, for each process\n\n"
	text += header("role", "what", "today", "planned", "budget", "verdict", "carried by")
	measured := m.today()
	bytesRow := func(role string, now, then float64, carried string) {
		text += row(role, "bytes a second", number(now), number(then), number(budgetBytesSecond), verdict(then, budgetBytesSecond), carried)
	}
	bytesRow("entry or agent, leaf", measured.LeafBytesPerSecond, m.leafBytes.at(planned.Processes()), "internal/relay, subscriptions by scope")
	bytesRow("entry or agent, relay", measured.RelayBytesPerSecond, m.relayAt(planned.Processes()), "internal/relay, fan-out of 8; a full relay as measured, and its children's slope")
	bytesRow("entry or agent, reader", measured.ReaderBytesPerSecond, m.readerBytes.at(planned.Processes()), "internal/relay, readers by rank, fan-out of 3")
	memory := func(size Size) float64 {
		return m.memory["rosterInstance"]*size.Processes() + m.memory["scope"]*size.ScopesPerMember
	}
	text += row("entry or agent", "heap for instance list and scopes", mebibytes(memory(today)), mebibytes(memory(planned)), mebibytes(budgetMemoryBytes), verdict(memory(planned), budgetMemoryBytes), "internal/membership, internal/desiredstate")
	growth := memory(planned) - memory(today)
	for _, role := range []struct{ name, figure string }{{"entry", "residentEntry"}, {"agent of a service", "residentAgent"}} {
		now := m.memory[role.figure]
		text += row(role.name, "resident memory, whole process", mebibytes(now), mebibytes(now+growth), mebibytes(budgetMemoryBytes), verdict(now+growth, budgetMemoryBytes), "measured under the demo's load, with the runtime, connections and requests; the budget is for control alone")
	}
	changes := func(size Size) float64 { return size.RestartsPerDay * changesPerRestart / 86400 * m.costs["listChange"] }
	text += row("entry or agent", "instance list changes, share of a core", share(changes(today)), share(changes(planned)), share(budgetCoreShare), verdict(changes(planned), budgetCoreShare), "internal/membership; the place in the tree is computed once for each change")
	core := (fanOut+1)*beats*m.costs["controlCall"] + planned.TicketsPerDay/86400*m.costs["applyTicket"]
	text += row("relay", "share of a core", share(beats*m.costs["controlCall"]), share(core), share(budgetCoreShare), verdict(core, budgetCoreShare), "internal/controlrpc, internal/desiredstate")
	reader := m.calls.at(planned.Processes())*2*m.costs["controlCall"] + core
	text += row("reader", "share of a core", share(measured.MaxCallsPerSecond*2*m.costs["controlCall"]), share(reader), share(budgetCoreShare), verdict(reader, budgetCoreShare), "internal/relay")
	return text + "\n"
}

// relayAt returns the bytes a second of a relay with all its children: a relay
// does not get more children as the fleet grows, but each child grows.
func (m *model) relayAt(processes float64) float64 {
	return m.fullRelay + (fanOut+1)*m.leafBytes.slope*(processes-m.leafBytes.largest)
}

// platform lists the load on the platform.
func (m *model) platform() string {
	planned := PlannedSize()
	measured := m.today()
	text := "## Load on the platform\n\n" + header("what", "today", "planned", "budget", "verdict", "carried by")
	reads := m.storeReads.at(planned.Processes())
	writes := m.storeWrites.at(planned.Processes())
	text += row("object API reads a second", number(measured.StoreReadsPerSecond), number(reads), number(budgetStoreReads), verdict(reads, budgetStoreReads), "internal/relay: 2 readers for each zone")
	text += row("object API writes a second, tickets", number(measured.StoreWritesPerSecond), number(writes), number(budgetStoreWrites), verdict(writes, budgetStoreWrites), "internal/ticketstore: one acknowledgement for each zone")
	const keyWrites = 64 * 4
	text += row("object API writes a second, idempotency keys, at most", number(keyWrites), number(keyWrites), number(budgetStoreWrites), verdict(keyWrites+writes, budgetStoreWrites), "internal/idempotency: 64 ranges, 4 writes a second each")
	polls := planned.Zones * planned.ReadersPerZone
	text += row("instance list reads a second", number(CurrentSize().Zones*CurrentSize().ReadersPerZone), number(polls), "not stated", "", "internal/relay: readers only")
	seconds := m.spread.at(planned.Processes())
	text += row("seconds until a ticket is everywhere", number(measured.PropagationSeconds), number(seconds), number(budgetTicketSecond), verdict(seconds, budgetTicketSecond), "internal/relay")
	return text + "\n"
}
