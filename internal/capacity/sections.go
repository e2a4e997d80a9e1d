package capacity

import (
	"fmt"

	"github.com/mimosaward/mimosaward/internal/idempotency"
)

// requestsSection returns the section on the cost of requests, which is not part
// of the budget for control.
func (m *model) requestsSection() string {
	planned := PlannedSize()
	section := "## Requests at peak load\n\nProcessor time of the decisions and checks only, without that of the HTTP\nlibrary.\n\n"
	section += tableHeader("role", "what", "per process", "share of a core", "handled by")
	perEntry := planned.RequestsPerSecond / planned.Entries
	section += tableRow("entry", "routing decisions per second", formatNumber(perEntry), formatPercent(perEntry*m.costs["route"]), "internal/routing: a subset of each pool")
	tokens := planned.TokensPerSecond / planned.Entries
	section += tableRow("entry", "tokens checked per second", formatNumber(tokens), formatPercent(tokens*m.costs["checkToken"]), "internal/streamcheck")
	perAgent := planned.RequestsPerSecond / planned.Workers
	section += tableRow("agent", "admissions per second", formatNumber(perAgent), formatPercent(perAgent*(m.costs["admit"]+m.costs["verdict"])), "internal/admission, internal/freshness")
	tokens = planned.TokensPerSecond / planned.Workers
	section += tableRow("agent", "tokens checked per second", formatNumber(tokens), formatPercent(tokens*m.costs["checkToken"]), "internal/streamcheck")
	return section + "\n"
}

// keysSection returns the section on the journals of idempotency keys.
func (m *model) keysSection() string {
	planned := PlannedSize()
	callsPerPartition := planned.KeyedCallsPerSecond / idempotency.PartitionCount
	retained := callsPerPartition * idempotency.Retention.Seconds()
	section := "## Idempotency keys\n\n"
	section += fmt.Sprintf("For one of %d partitions, at a total of %s calls with a key per second over the retention\ntime of keys. The users specify no rate, so this one is assumed. Measured by\nTestCostsOfKeys with %s to %s keys in a partition.\n\n", idempotency.PartitionCount, formatNumber(planned.KeyedCallsPerSecond), formatNumber(m.keyBytes.minSize), formatNumber(m.keyBytes.maxSize))
	section += tableHeader("what", "at the assumed rate", "derived from", "handled by")
	section += tableRow("retained keys", formatNumber(retained), "rate and retention time", "internal/idempotency: journal head and sealed segments")
	section += tableRow("heap of the owner", formatMebibytes(m.keyHeap.estimate(retained)), "slope of the owner's heap after a takeover", "internal/idempotency: segment index")
	section += tableRow("bytes written per second", formatNumber(callsPerPartition*m.keyBytes.estimate(m.keyBytes.maxSize)), "bytes per key in the largest measured history, 100 keys per write", "internal/idempotency: batches")
	section += tableRow("reads at a takeover by another process", formatNumber(m.takeoverReads.estimate(retained)), "slope of the reads", "internal/idempotency: 8 concurrent reads")
	return section + "\n"
}

// burstsSection returns the section on the measured rollouts with the selected policy.
func (m *model) burstsSection() string {
	section := "## Weights\n\nMeasured bursts with the selected policy (TestBurstPolicies). In 300 s, the origin's link\ncan transfer the weight set four times and an instance's link twice. Thin links\nhave 32 Mbit/s, of which live traffic uses 30%. Faults: 5% of the instances fail,\n1% of the chunks are corrupted, and one thin link stalls for 30 s.\nWith linkRate, live traffic has priority over weights on the instances' links\n(TestBurstBehindLiveTraffic).\n\n"
	section += tableHeader("instances", "regions", "faults", "linkRate", "seconds to all instances", "ratio to the lower bound", "origin copies", "copies over the most loaded thin link", "p99 delay of live traffic in ms, thin link", "p99 delay of live traffic in ms, instance link", "messages per instance")
	for _, measurement := range m.measurements {
		if measurement.Kind != "burst" || measurement.Policy != "striped" || measurement.Chunks < 512 {
			continue
		}
		section += tableRow(formatNumber(measurement.Instances), formatNumber(measurement.Regions), fmt.Sprint(measurement.Faults), fmt.Sprint(measurement.RateLimited), formatNumber(measurement.RolloutSeconds), fmt.Sprintf("%.2f", measurement.LowerBoundRatio),
			fmt.Sprintf("%.2f", measurement.OriginCopies), fmt.Sprintf("%.2f", measurement.InterRegionCopies), formatNumber(measurement.LiveDelayP99Milliseconds), formatLinkDelay(measurement), formatNumber(measurement.ControlMessagesPerInstance))
	}
	verifySeconds := m.costs["verifyChunkMiB"]
	section += fmt.Sprintf("\nVerification takes %s s of a core per GiB. Handled by internal/topology, internal/p2p, internal/bandwidth and internal/weights.\n\n", formatNumber(verifySeconds*1024))
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
	section := "## Events at the planned size\n\n" + tableHeader("event", "load", "derived from", "handled by")
	listBytes := m.itemBytes["listRecord"] * planned.Processes()
	section += tableRow("one instance restarts", fmt.Sprintf("reads %s of the instance list from the platform, once", formatMebibytes(listBytes)), "list record size, all instances", "internal/relay: a process that is not yet in the list reads the list itself")
	section += tableRow("all instances of a rack restart at the same time", fmt.Sprintf("%s from the platform", formatMebibytes(listBytes*planned.InstancesPerRack)), "the same, 40 instances", "internal/relay; joins are not rate limited yet")
	changes := m.itemBytes["listRecord"] * (planned.RestartsPerDay * changesPerRestart) / 86400
	section += tableRow("1,300 restarts per day", fmt.Sprintf("%s bytes per second of list changes per process", formatNumber(changes)), "two changes per restart", "internal/relay")
	section += tableRow("a zone is taken out of service at peak load", fmt.Sprintf("%s requests per second move to the other zones", formatNumber(planned.RequestsPerSecond/planned.Zones)), "requests divided by zones", "internal/routing, internal/admission; measured with 12 workers by TestZoneLeavesAndReturnsUnderLoad")
	section += tableRow("network partition between regions", "a zone outside the majority refuses new requests after 2.5 s", "freshness.MaxAge", "internal/freshness")
	section += tableRow("long outage of the store", "serving continues, tickets and calls with an idempotency key are refused", "TestStoreOutageKeepsServing, TestBookingRunsOnce", "internal/freshness, internal/idempotency")
	reads := m.storeReadsAfterOutage.estimate(planned.Processes())
	section += tableRow("the store recovers", fmt.Sprintf("%s reads per second in the first 5 s", formatNumber(reads)), "slope above", "internal/relay: only readers wait for the store")
	return section + "\n"
}
