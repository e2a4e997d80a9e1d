package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// maxOriginCopies is the number of copies of a weight set that the link of the
// origin can transfer during a rollout.
const maxOriginCopies = 4

// report contains the results of the demo.
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

// compareRuns compares the number of runs of each idempotency key with the
// outcomes that the callers received.
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

// row is one line of the report. A checked row is a guarantee, which is violated
// if the value exceeds the limit.
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
		countRow("chat completions, complete response", r.callCounts.completionsDone),
		countRow("chat completions, refused as \"not run\"", r.callCounts.completionsNotRun),
		countRow("chat completions, explicit \"outcome unknown\"", r.callCounts.completionsUnknown),
		countRow("broken connections", r.callCounts.connectErrors),
		countRow("bookings, complete response", r.callCounts.bookingsDone),
		countRow("bookings, refused as \"not run\"", r.callCounts.bookingsNotRun),
		countRow("bookings, \"outcome unknown\"", r.callCounts.bookingsUnknown),
		countRow("chat completions during the outage of the object API", r.outageCompletions),
		{name: "seconds until the restored zone received requests", value: r.zoneRestoreSeconds},
		{name: "resident memory of the largest entry, MiB", value: r.entryMemory / (1 << 20)},
		{name: "resident memory of the largest agent of a service, MiB", value: r.agentMemory / (1 << 20)},
		limitRow("responses from partial or mixed weights", float64(r.callCounts.mixedWeights), 0),
		limitRow("responses to another request", float64(r.callCounts.misdirected), 0),
		limitRow("responses truncated without an error", float64(r.callCounts.truncated), 0),
		limitRow("bookings that ran twice", float64(r.ranTwice), 0),
		limitRow("bookings refused as \"not run\" that ran", float64(r.ranDespiteNotRun), 0),
		limitRow("bookings reported as done that did not run", float64(r.doneWithoutRun), 0),
		limitRow("requests to the out-of-service zone after 3 s", float64(r.outOfServiceRequests), 0),
		limitRow("requests to a zone taken out of service while its agents were paused", float64(r.pausedZoneRequests), 0),
		limitRow("requests above the limit of an engine", float64(r.overloads), 0),
		limitRow("requests interrupted by a planned stop", float64(r.interruptedByStop), 0),
	}
	for _, rollout := range r.rollouts {
		rows = append(rows,
			row{name: "seconds until all replicas served " + rollout.version, value: rollout.seconds},
			limitRow("copies downloaded from the origin for "+rollout.version, rollout.copies, maxOriginCopies))
	}
	return rows
}

// write prints the table and returns an error that lists the violated guarantees.
func (r *report) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nCHECK\tVALUE\tLIMIT")
	var violated []string
	for _, line := range r.rows() {
		limit := ""
		if line.checked {
			limit = fmt.Sprintf("<= %g", line.limit)
			if line.value > line.limit {
				limit += " VIOLATED"
				violated = append(violated, line.name)
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%s\n", line.name, line.value, limit)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(violated) > 0 {
		return errors.Newf("violated guarantees: %q", violated)
	}
	if r.callCounts.completionsDone == 0 || r.callCounts.bookingsDone == 0 {
		return errors.New("no chat completion or no booking succeeded")
	}
	_, _ = fmt.Fprintln(out, "all guarantees held")
	return nil
}
