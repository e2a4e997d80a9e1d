package capacity

import (
	"fmt"

	"github.com/mimosaward/mimosaward/internal/idempotency"
)

// requests lists the cost of requests, which is not part of the budget for
// control.
func (m *model) requests() string {
	planned := PlannedSize()
	text := "## Requests at the peak\n\nProcessor time of the decisions and checks alone; the HTTP library's is not in\nit.\n\n"
	text += header("role", "what", "for each process", "share of a core", "carried by")
	perEntry := planned.RequestsPerSecond / planned.Entries
	text += row("entry", "routing decisions a second", number(perEntry), share(perEntry*m.costs["route"]), "internal/routing: a subset of each pool")
	tokens := planned.TokensPerSecond / planned.Entries
	text += row("entry", "tokens checked a second", number(tokens), share(tokens*m.costs["checkToken"]), "internal/streamcheck")
	perAgent := planned.RequestsPerSecond / planned.Workers
	text += row("agent", "admissions a second", number(perAgent), share(perAgent*(m.costs["admit"]+m.costs["verdict"])), "internal/admission, internal/freshness")
	tokens = planned.TokensPerSecond / planned.Workers
	text += row("agent", "tokens checked a second", number(tokens), share(tokens*m.costs["checkToken"]), "internal/streamcheck")
	return text + "\n"
}

// keys lists what the journals of idempotency keys need.
func (m *model) keys() string {
	planned := PlannedSize()
	rangeSecond := planned.KeyedCallsPerSecond / idempotency.PartitionCount
	held := rangeSecond * idempotency.Retention.Seconds()
	text := "## Idempotency keys\n\n"
	text += fmt.Sprintf("For one of %d ranges, at %s keyed calls a second in all for as long as keys are\nremembered. The users give no rate; this one is assumed. Measured by TestCostsOfKeys\nfrom %s to %s keys in a range.\n\n", idempotency.PartitionCount, number(planned.KeyedCallsPerSecond), number(m.keyBytes.smallest), number(m.keyBytes.largest))
	text += header("what", "at the assumed rate", "worked out from", "carried by")
	text += row("keys remembered", number(held), "rate and retention", "internal/idempotency: a head and sealed segments")
	text += row("heap of the owner", mebibytes(m.keyHeap.at(held)), "slope of the heap of an owner that took over", "internal/idempotency: segment index")
	text += row("bytes a second written", number(rangeSecond*m.keyBytes.at(m.keyBytes.largest)), "bytes for each key at the largest history measured, 100 keys in a write", "internal/idempotency: batches")
	text += row("reads when another process takes over", number(m.takeover.at(held)), "slope of the reads", "internal/idempotency: 8 at a time")
	return text + "\n"
}

// bursts lists the measured bursts of the chosen way.
func (m *model) bursts() string {
	text := "## Weights\n\nMeasured bursts of the chosen way (TestBurstPolicies): a set that the origin's\nlink carries four times in 300 s and an instance's link twice, thin links of\n32 Mbit/s of which live traffic takes 30%. Faults: 5% of the instances die, 1%\nof the chunks are damaged, one thin link stalls for 30 s.\nWith linkRate, weights wait for live traffic on the instances' own links\n(TestBurstBehindLiveTraffic).\n\n"
	text += header("instances", "regions", "faults", "linkRate", "seconds to all", "ratio to the floor", "origin copies", "copies over the worst thin link", "live delay p99 in ms, thin link", "instance link", "messages for each instance")
	for _, one := range m.all {
		if one.Figure != "burst" || one.Policy != "striped" || one.Chunks < 512 {
			continue
		}
		text += row(number(one.Instances), number(one.Regions), fmt.Sprint(one.Faults), fmt.Sprint(one.RateLimited), number(one.RolloutSeconds), fmt.Sprintf("%.2f", one.FloorRatio),
			fmt.Sprintf("%.2f", one.OriginCopies), fmt.Sprintf("%.2f", one.InterRegionCopies), number(one.LiveDelayP99Milliseconds), linkDelay(one), number(one.ControlMessagesPerInstance))
	}
	hash := m.costs["verifyChunkMiB"]
	text += fmt.Sprintf("\nVerifying takes %s s of a core for each GiB. Carried by internal/topology, internal/p2p, internal/bandwidth and internal/weights.\n\n", number(hash*1024))
	return text
}

// linkDelay returns the wait of live traffic on the instances' links, which older
// measurements do not have.
func linkDelay(one Measurement) string {
	if one.LinkDelayP99Milliseconds == 0 {
		return "not measured"
	}
	return number(one.LinkDelayP99Milliseconds)
}

// events lists the cases that come on top of the ordinary load.
func (m *model) events() string {
	planned := PlannedSize()
	text := "## Events at the planned size\n\n" + header("event", "figure", "worked out from", "carried by")
	join := m.memory["listRecord"] * planned.Processes()
	text += row("one instance restarts", fmt.Sprintf("reads %s of instance list from the platform, once", mebibytes(join)), "list record, all instances", "internal/relay: a process that is not listed yet reads the list itself")
	text += row("a rack restarts at once", fmt.Sprintf("%s from the platform", mebibytes(join*planned.InstancesPerRack)), "the same, 40 instances", "internal/relay; no pacing of joins yet")
	changes := m.memory["listRecord"] * (planned.RestartsPerDay * changesPerRestart) / 86400
	text += row("1,300 restarts in a day", fmt.Sprintf("%s bytes a second of list changes for each process", number(changes)), "two changes for each restart", "internal/relay")
	text += row("a zone leaves at the peak", fmt.Sprintf("%s requests a second move to the other zones", number(planned.RequestsPerSecond/planned.Zones)), "requests by zones", "internal/routing, internal/admission; measured at 12 workers by TestZoneLeavesAndReturnsUnderLoad")
	text += row("regions lose each other", "a zone outside the majority refuses new work after 2.5 s", "freshness.MaxAge", "internal/freshness")
	text += row("the store is out for long", "serving goes on, tickets and keyed calls are refused", "TestStoreOutageKeepsServing, TestBookingRunsOnce", "internal/freshness, internal/idempotency")
	reads := m.afterOutage.at(planned.Processes())
	text += row("the store answers again", fmt.Sprintf("%s reads a second in the first 5 s", number(reads)), "slope above", "internal/relay: only readers wait for the store")
	return text + "\n"
}
