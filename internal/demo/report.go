package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// maxOriginCopies is what the origin's link carries in the time of a rollout.
const maxOriginCopies = 4

// report is what the demo prints at its end.
type report struct {
	callCounts           callCounts
	rollouts             []rolloutReport
	outOfServiceRequests int64
	pausedZoneRequests   int64
	zoneRestoreSeconds   float64
	entryMemory          float64
	agentMemory          float64
	outageCompletions    int
	interruptedByStop    int
	overloads            int64
	ranTwice             int
	ranDespiteNotRun     int
	doneWithoutRun       int
}

type rolloutReport struct {
	version string
	seconds float64
	copies  float64
}

// compareRuns compares the runs of each key with the answers that callers got.
func (r *report) compareRuns(runs map[string]int, outcomes map[string][]outcome.Outcome) {
	for _, count := range runs {
		if count > 1 {
			r.ranTwice++
		}
	}
	for key, results := range outcomes {
		allNotRun, done := true, false
		for _, result := range results {
			allNotRun = allNotRun && result == outcome.NotRun
			done = done || result == outcome.Done
		}
		if allNotRun && runs[key] > 0 {
			r.ranDespiteNotRun++
		}
		if done && runs[key] == 0 {
			r.doneWithoutRun++
		}
	}
}

// row is one line of the report. A promise is broken if it has a bound that
// the value exceeds.
type row struct {
	name    string
	value   float64
	limit   float64
	checked bool
}

func countRow(name string, value int) row { return row{name: name, value: float64(value)} }

func limitRow(name string, value float64, limit float64) row {
	return row{name: name, value: value, limit: limit, checked: true}
}

func (r *report) rows() []row {
	rows := []row{
		countRow("drafts, whole answer", r.callCounts.completionsDone),
		countRow("drafts, refused \"not run\"", r.callCounts.completionsNotRun),
		countRow("drafts, explicit \"outcome unknown\"", r.callCounts.completionsUnknown),
		countRow("connections that broke", r.callCounts.connectErrors),
		countRow("bookings, whole answer", r.callCounts.bookingsDone),
		countRow("bookings, refused \"not run\"", r.callCounts.bookingsNotRun),
		countRow("bookings, \"outcome unknown\"", r.callCounts.bookingsUnknown),
		countRow("drafts during the object API's outage", r.outageCompletions),
		{name: "seconds until the zone that came back had work", value: r.zoneRestoreSeconds},
		{name: "resident memory of the largest entry, MiB", value: r.entryMemory / (1 << 20)},
		{name: "resident memory of the largest agent of a service, MiB", value: r.agentMemory / (1 << 20)},
		limitRow("answers from partial or mixed weights", float64(r.callCounts.mixedWeights), 0),
		limitRow("answers of another request", float64(r.callCounts.misdirected), 0),
		limitRow("answers cut without an error", float64(r.callCounts.truncated), 0),
		limitRow("bookings that ran twice", float64(r.ranTwice), 0),
		limitRow("bookings refused \"not run\" that ran", float64(r.ranDespiteNotRun), 0),
		limitRow("bookings answered that did not run", float64(r.doneWithoutRun), 0),
		limitRow("work for the taken-out zone after 3 s", float64(r.outOfServiceRequests), 0),
		limitRow("work for a zone taken out while its agents were paused", float64(r.pausedZoneRequests), 0),
		limitRow("requests beyond what an engine bore", float64(r.overloads), 0),
		limitRow("requests cut by a planned stop", float64(r.interruptedByStop), 0),
	}
	for _, rollout := range r.rollouts {
		rows = append(rows,
			row{name: "seconds to all replicas of " + rollout.version, value: rollout.seconds},
			limitRow("copies drawn from the origin for "+rollout.version, rollout.copies, maxOriginCopies))
	}
	return rows
}

// write prints the table and returns an error that names the broken promises.
func (r *report) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nWHAT\tVALUE\tBOUND")
	var broken []string
	for _, line := range r.rows() {
		limit := ""
		if line.checked {
			limit = fmt.Sprintf("<= %g", line.limit)
			if line.value > line.limit {
				limit += " BROKEN"
				broken = append(broken, line.name)
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%s\n", line.name, line.value, limit)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.Newf("broken promises: %q", broken)
	}
	if r.callCounts.completionsDone == 0 || r.callCounts.bookingsDone == 0 {
		return errors.New("no request was answered")
	}
	_, _ = fmt.Fprintln(out, "every promise held")
	return nil
}
