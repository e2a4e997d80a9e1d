package capacity

import (
	"fmt"

	"github.com/mimosaward/mimosaward/internal/idempotency"
)

// requestsSection returns the section on the cost of requests, which is not part
// of the budget for control.
func (m *model) requestsSection() string {
	planned := PlannedSize()
	section := "## Requests at the peak\n\nProcessor time of the decisions and checks alone; the HTTP library's is not in\nit.\n\n"
	section += tableHeader("role", "what", "for each process", "share of a core", "carried by")
	perEntry := planned.RequestsPerSecond / planned.Entries
	section += tableRow("entry", "routing decisions a second", formatNumber(perEntry), formatPercent(perEntry*m.costs["route"]), "internal/routing: a subset of each pool")
	tokens := planned.TokensPerSecond / planned.Entries
	section += tableRow("entry", "tokens checked a second", formatNumber(tokens), formatPercent(tokens*m.costs["checkToken"]), "internal/streamcheck")
	perAgent := planned.RequestsPerSecond / planned.Workers
	section += tableRow("agent", "admissions a second", formatNumber(perAgent), formatPercent(perAgent*(m.costs["admit"]+m.costs["verdict"])), "internal/admission, internal/freshness")
	tokens = planned.TokensPerSecond / planned.Workers
	section += tableRow("agent", "tokens checked a second", formatNumber(tokens), formatPercent(tokens*m.costs["checkToken"]), "internal/streamcheck")
	return section + "\n"
}

// keysSection returns the section on the journals of idempotency keys.
func (m *model) keysSection() string {
	planned := PlannedSize()
	callsPerPartition := planned.KeyedCallsPerSecond / idempotency.PartitionCount
	retained := callsPerPartition * idempotency.Retention.Seconds()
	section := "## Idempotency keys\n\n"
	section += fmt.Sprintf("For one of %d ranges, at %s keyed calls a second in all for as long as keys are\nremembered. The users give no rate; this one is assumed. Measured by TestCostsOfKeys\nfrom %s to %s keys in a range.\n\n", idempotency.PartitionCount, formatNumber(planned.KeyedCallsPerSecond), formatNumber(m.keyBytes.minSize), formatNumber(m.keyBytes.maxSize))
	section += tableHeader("what", "at the assumed rate", "worked out from", "carried by")
	section += tableRow("keys remembered", formatNumber(retained), "rate and retention", "internal/idempotency: a head and sealed segments")
	section += tableRow("heap of the owner", formatMebibytes(m.keyHeap.estimate(retained)), "slope of the heap of an owner that took over", "internal/idempotency: segment index")
	section += tableRow("bytes a second written", formatNumber(callsPerPartition*m.keyBytes.estimate(m.keyBytes.maxSize)), "bytes for each key at the largest history measured, 100 keys in a write", "internal/idempotency: batches")
	section += tableRow("reads when another process takes over", formatNumber(m.takeoverReads.estimate(retained)), "slope of the reads", "internal/idempotency: 8 at a time")
	return section + "\n"
}

// burstsSection returns the section on the measured rollouts with the selected policy.
func (m *model) burstsSection() string {
	section := "## Weights\n\nMeasured bursts of the chosen way (TestBurstPolicies): a set that the origin's\nlink carries four times in 300 s and an instance's link twice, thin links of\n32 Mbit/s of which live traffic takes 30%. Faults: 5% of the instances die, 1%\nof the chunks are damaged, one thin link stalls for 30 s.\nWith linkRate, weights wait for live traffic on the instances' own links\n(TestBurstBehindLiveTraffic).\n\n"
	section += tableHeader("instances", "regions", "faults", "linkRate", "seconds to all", "ratio to the floor", "origin copies", "copies over the worst thin link", "live delay p99 in ms, thin link", "instance link", "messages for each instance")
	for _, measurement := range m.measurements {
		if measurement.Figure != "burst" || measurement.Policy != "striped" || measurement.Chunks < 512 {
			continue
		}
		section += tableRow(formatNumber(measurement.Instances), formatNumber(measurement.Regions), fmt.Sprint(measurement.Faults), fmt.Sprint(measurement.RateLimited), formatNumber(measurement.RolloutSeconds), fmt.Sprintf("%.2f", measurement.FloorRatio),
			fmt.Sprintf("%.2f", measurement.OriginCopies), fmt.Sprintf("%.2f", measurement.InterRegionCopies), formatNumber(measurement.LiveDelayP99Milliseconds), formatLinkDelay(measurement), formatNumber(measurement.ControlMessagesPerInstance))
	}
	verifySeconds := m.costs["verifyChunkMiB"]
	section += fmt.Sprintf("\nVerifying takes %s s of a core for each GiB. Carried by internal/topology, internal/p2p, internal/bandwidth and internal/weights.\n\n", formatNumber(verifySeconds*1024))
	return section
}

// formatLinkDelay formats the queueing delay of live traffic on the instances'
// links, which older measurements do not have.
func formatLinkDelay(measurement Measurement) string {
	if measurement.LinkDelayP99Milliseconds == 0 {
		return "not measured"
	}
	return formatNumber(measurement.LinkDelayP99Milliseconds)
}

// eventsSection returns the section on events that add to the normal load.
func (m *model) eventsSection() string {
	planned := PlannedSize()
	section := "## Events at the planned size\n\n" + tableHeader("event", "figure", "worked out from", "carried by")
	listBytes := m.itemBytes["listRecord"] * planned.Processes()
	section += tableRow("one instance restarts", fmt.Sprintf("reads %s of instance list from the platform, once", formatMebibytes(listBytes)), "list record, all instances", "internal/relay: a process that is not listed yet reads the list itself")
	section += tableRow("a rack restarts at once", fmt.Sprintf("%s from the platform", formatMebibytes(listBytes*planned.InstancesPerRack)), "the same, 40 instances", "internal/relay; no pacing of joins yet")
	changes := m.itemBytes["listRecord"] * (planned.RestartsPerDay * changesPerRestart) / 86400
	section += tableRow("1,300 restarts in a day", fmt.Sprintf("%s bytes a second of list changes for each process", formatNumber(changes)), "two changes for each restart", "internal/relay")
	section += tableRow("a zone leaves at the peak", fmt.Sprintf("%s requests a second move to the other zones", formatNumber(planned.RequestsPerSecond/planned.Zones)), "requests by zones", "internal/routing, internal/admission; measured at 12 workers by TestZoneLeavesAndReturnsUnderLoad")
	section += tableRow("regions lose each other", "a zone outside the majority refuses new work after 2.5 s", "freshness.MaxAge", "internal/freshness")
	section += tableRow("the store is out for long", "serving goes on, tickets and keyed calls are refused", "TestStoreOutageKeepsServing, TestBookingRunsOnce", "internal/freshness, internal/idempotency")
	reads := m.storeReadsAfterOutage.estimate(planned.Processes())
	section += tableRow("the store answers again", fmt.Sprintf("%s reads a second in the first 5 s", formatNumber(reads)), "slope above", "internal/relay: only readers wait for the store")
	return section + "\n"
}
