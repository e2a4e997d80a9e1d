package capacity

import "fmt"

// model holds the lines fitted to the measurements.
type model struct {
	measurements []Measurement
	leafBytes    linearFit
	// fullRelayBytes is the number of bytes per second that a relay with all its
	// children handles in the largest measured deployment.
	fullRelayBytes        float64
	readerBytes           linearFit
	storeReads            linearFit
	storeWrites           linearFit
	storeReadsAfterOutage linearFit
	maxCalls              linearFit
	propagation           linearFit
	// keyBytes, keyHeap and takeoverReads are the costs of the history of one
	// partition of idempotency keys: bytes per key, heap bytes and store reads.
	keyBytes      linearFit
	keyHeap       linearFit
	takeoverReads linearFit
	costs         map[string]float64
	itemBytes     map[string]float64
}

// fittedZoneCount is the number of zones in the deployments that the lines are
// fitted to. Deployments with other numbers of zones have other intercepts.
const fittedZoneCount = 8

func newModel(measurements []Measurement) *model {
	m := &model{measurements: measurements, costs: map[string]float64{}, itemBytes: map[string]float64{}}
	fitTickets := func(value func(Measurement) float64) linearFit {
		var points []point
		for _, measurement := range measurements {
			if measurement.Kind == "tickets" && measurement.Zones == fittedZoneCount {
				points = append(points, point{size: measurement.Processes, value: value(measurement)})
			}
		}
		return fitLine(points)
	}
	m.leafBytes = fitTickets(func(m Measurement) float64 { return m.LeafBytesPerSecond })
	for _, measurement := range measurements {
		if measurement.Kind == "tickets" && measurement.Zones == fittedZoneCount && measurement.Processes == m.leafBytes.maxSize {
			m.fullRelayBytes = measurement.RelayBytesPerSecond
		}
	}
	m.readerBytes = fitTickets(func(m Measurement) float64 { return m.ReaderBytesPerSecond })
	m.storeReads = fitTickets(func(m Measurement) float64 { return m.StoreReadsPerSecond })
	m.storeWrites = fitTickets(func(m Measurement) float64 { return m.StoreWritesPerSecond })
	m.storeReadsAfterOutage = fitTickets(func(m Measurement) float64 { return m.StoreReadsAfterOutagePerSecond })
	m.maxCalls = fitTickets(func(m Measurement) float64 { return m.MaxCallsPerSecond })
	m.propagation = fitTickets(func(m Measurement) float64 { return m.PropagationSeconds })
	fitKeys := func(value func(Measurement) float64) linearFit {
		var points []point
		for _, measurement := range measurements {
			if measurement.Kind == "idempotencyJournal" {
				points = append(points, point{size: measurement.Keys, value: value(measurement)})
			}
		}
		return fitLine(points)
	}
	m.keyBytes = fitKeys(func(m Measurement) float64 { return m.BytesPerKey })
	m.keyHeap = fitKeys(func(m Measurement) float64 { return m.HeapBytes })
	m.takeoverReads = fitKeys(func(m Measurement) float64 { return m.TakeoverReads })
	for _, measurement := range measurements {
		switch measurement.Kind {
		case "cost":
			m.costs[measurement.Name] = measurement.Nanoseconds / 1e9
		case "memory":
			m.itemBytes[measurement.Name] = measurement.BytesPerItem
		}
	}
	return m
}

// currentMeasurement returns the measurement of tickets at the current size, or
// a zero Measurement if there is none.
func (m *model) currentMeasurement() Measurement {
	for _, measurement := range m.measurements {
		if measurement.Kind == "tickets" && measurement.Processes == CurrentSize().Processes() {
			return measurement
		}
	}
	return Measurement{}
}

// fanOut is the number of children of a relay in the tree of package relay.
// pullsPerSecond is the number of pulls per second of a child from its parent.
const (
	fanOut         = 8
	pullsPerSecond = 1
)

// changesPerRestart is the number of changes to the instance list caused by a
// restart.
const changesPerRestart = 2

// slopesSection returns the section that lists the fitted lines.
func (m *model) slopesSection() string {
	section := "## Slopes\n\nLines fitted to the measurements of \"make bench\" (TestTickets) for deployments with 8 zones,\nas functions of the number of processes.\n\n"
	section += tableHeader("what", "at 0", "per process", "measured from", "to")
	for _, fitted := range []struct {
		name string
		line linearFit
	}{
		{"control bytes per second, leaf", m.leafBytes},
		{"control bytes per second, reader", m.readerBytes},
		{"store reads per second", m.storeReads},
		{"store writes per second", m.storeWrites},
		{"store reads per second after an outage", m.storeReadsAfterOutage},
		{"seconds until a ticket reaches all processes", m.propagation},
	} {
		section += tableRow(fitted.name, formatNumber(fitted.line.intercept), fmt.Sprintf("%.5f", fitted.line.slope), formatNumber(fitted.line.minSize), formatNumber(fitted.line.maxSize))
	}
	return section + "\n"
}

// rolesSection returns the section on the resources that a process of each role
// and tree position needs for control.
func (m *model) rolesSection() string {
	planned, today := PlannedSize(), CurrentSize()
	section := "## Control, per process\n\n"
	section += tableHeader("role", "what", "today", "planned", "budget", "verdict", "handled by")
	current := m.currentMeasurement()
	bytesRow := func(role string, currentBytes, projectedBytes float64, component string) {
		section += tableRow(role, "bytes per second", formatNumber(currentBytes), formatNumber(projectedBytes), formatNumber(budgetBytesPerSecond), compareWithBudget(projectedBytes, budgetBytesPerSecond), component)
	}
	bytesRow("entry or agent, leaf", current.LeafBytesPerSecond, m.leafBytes.estimate(planned.Processes()), "internal/relay, subscriptions by scope")
	bytesRow("entry or agent, relay", current.RelayBytesPerSecond, m.estimateRelayBytes(planned.Processes()), "internal/relay, fan-out of 8; measured for a relay with all its children, plus the slopes of its processes")
	bytesRow("entry or agent, reader", current.ReaderBytesPerSecond, m.readerBytes.estimate(planned.Processes()), "internal/relay, readers by rank, fan-out of 3")
	memoryBytes := func(size Size) float64 {
		return m.itemBytes["rosterInstance"]*size.Processes() + m.itemBytes["scope"]*size.ScopesPerMember
	}
	section += tableRow("entry or agent", "heap for instance list and scopes", formatMebibytes(memoryBytes(today)), formatMebibytes(memoryBytes(planned)), formatMebibytes(budgetMemoryBytes), compareWithBudget(memoryBytes(planned), budgetMemoryBytes), "internal/membership, internal/desiredstate")
	growth := memoryBytes(planned) - memoryBytes(today)
	for _, role := range []struct{ name, measurement string }{{"entry", "residentEntry"}, {"agent of a service", "residentAgent"}} {
		currentBytes := m.itemBytes[role.measurement]
		section += tableRow(role.name, "resident memory, whole process", formatMebibytes(currentBytes), formatMebibytes(currentBytes+growth), formatMebibytes(budgetMemoryBytes), compareWithBudget(currentBytes+growth, budgetMemoryBytes), "measured under the load of the demo, including the runtime, connections and requests; the budget is for control only")
	}
	changes := func(s Size) float64 { return s.RestartsPerDay * changesPerRestart / 86400 * m.costs["listChange"] }
	section += tableRow("entry or agent", "instance list changes, share of a core", formatPercent(changes(today)), formatPercent(changes(planned)), formatPercent(budgetCoreShare), compareWithBudget(changes(planned), budgetCoreShare), "internal/membership; the tree position is computed once per change")
	relayShare := (fanOut+1)*pullsPerSecond*m.costs["controlCall"] + planned.TicketsPerDay/86400*m.costs["applyTicket"]
	section += tableRow("relay", "share of a core", formatPercent(pullsPerSecond*m.costs["controlCall"]), formatPercent(relayShare), formatPercent(budgetCoreShare), compareWithBudget(relayShare, budgetCoreShare), "internal/controlrpc, internal/desiredstate")
	readerShare := m.maxCalls.estimate(planned.Processes())*2*m.costs["controlCall"] + relayShare
	section += tableRow("reader", "share of a core", formatPercent(current.MaxCallsPerSecond*2*m.costs["controlCall"]), formatPercent(readerShare), formatPercent(budgetCoreShare), compareWithBudget(readerShare, budgetCoreShare), "internal/relay")
	return section + "\n"
}

// estimateRelayBytes returns the number of bytes per second that a relay with all
// its children handles. As the deployment grows, the number of a relay's children stays
// the same, but the traffic of each child grows.
func (m *model) estimateRelayBytes(processes float64) float64 {
	return m.fullRelayBytes + (fanOut+1)*m.leafBytes.slope*(processes-m.leafBytes.maxSize)
}

// platformSection returns the section on the load on the platform.
func (m *model) platformSection() string {
	planned := PlannedSize()
	current := m.currentMeasurement()
	section := "## Load on the platform\n\n" + tableHeader("what", "today", "planned", "budget", "verdict", "handled by")
	reads := m.storeReads.estimate(planned.Processes())
	writes := m.storeWrites.estimate(planned.Processes())
	section += tableRow("object API reads per second", formatNumber(current.StoreReadsPerSecond), formatNumber(reads), formatNumber(budgetStoreReadsPerSecond), compareWithBudget(reads, budgetStoreReadsPerSecond), "internal/relay: 2 readers per zone")
	section += tableRow("object API writes per second, tickets", formatNumber(current.StoreWritesPerSecond), formatNumber(writes), formatNumber(budgetStoreWritesPerSecond), compareWithBudget(writes, budgetStoreWritesPerSecond), "internal/ticketstore: one acknowledgement per zone")
	const keyWrites = 64 * 4
	section += tableRow("object API writes per second, idempotency keys, at most", formatNumber(keyWrites), formatNumber(keyWrites), formatNumber(budgetStoreWritesPerSecond), compareWithBudget(keyWrites+writes, budgetStoreWritesPerSecond), "internal/idempotency: 64 partitions, 4 writes per second each")
	listReads := planned.Zones * planned.ReadersPerZone
	section += tableRow("instance list reads per second", formatNumber(CurrentSize().Zones*CurrentSize().ReadersPerZone), formatNumber(listReads), "not specified", "", "internal/relay: readers only")
	seconds := m.propagation.estimate(planned.Processes())
	section += tableRow("seconds until a ticket reaches all processes", formatNumber(current.PropagationSeconds), formatNumber(seconds), formatNumber(budgetTicketSeconds), compareWithBudget(seconds, budgetTicketSeconds), "internal/relay")
	return section + "\n"
}
