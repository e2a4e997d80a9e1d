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
	tally           tally
	rollouts        []rolloutReport
	zoneWork        int64
	pausedWork      int64
	zoneBackSeconds float64
	entryMemory     float64
	agentMemory     float64
	outageDrafts    int
	cutByStop       int
	overloads       int64
	ranTwice        int
	ranThoughNotRun int
	lostThoughDone  int
}

type rolloutReport struct {
	version string
	seconds float64
	copies  float64
}

// judgeRuns compares the runs of each key with the answers that callers got.
func (r *report) judgeRuns(runs map[string]int, answers map[string][]outcome.Outcome) {
	for _, count := range runs {
		if count > 1 {
			r.ranTwice++
		}
	}
	for key, got := range answers {
		allNotRun, done := true, false
		for _, what := range got {
			allNotRun = allNotRun && what == outcome.NotRun
			done = done || what == outcome.Done
		}
		if allNotRun && runs[key] > 0 {
			r.ranThoughNotRun++
		}
		if done && runs[key] == 0 {
			r.lostThoughDone++
		}
	}
}

// row is one line of the report. A promise is broken if it has a bound that
// the value exceeds.
type row struct {
	name   string
	value  float64
	bound  float64
	judged bool
}

func counted(name string, value int) row { return row{name: name, value: float64(value)} }

func promise(name string, value float64, bound float64) row {
	return row{name: name, value: value, bound: bound, judged: true}
}

func (r *report) rows() []row {
	rows := []row{
		counted("drafts, whole answer", r.tally.draftsWhole),
		counted("drafts, refused \"not run\"", r.tally.draftsNotRun),
		counted("drafts, explicit \"outcome unknown\"", r.tally.draftsUnknown),
		counted("connections that broke", r.tally.connectErrors),
		counted("bookings, whole answer", r.tally.bookingsDone),
		counted("bookings, refused \"not run\"", r.tally.bookingNotRun),
		counted("bookings, \"outcome unknown\"", r.tally.bookingUnsure),
		counted("drafts during the object API's outage", r.outageDrafts),
		{name: "seconds until the zone that came back had work", value: r.zoneBackSeconds},
		{name: "resident memory of the largest entry, MiB", value: r.entryMemory / (1 << 20)},
		{name: "resident memory of the largest agent of a service, MiB", value: r.agentMemory / (1 << 20)},
		promise("answers from partial or mixed weights", float64(r.tally.mixed), 0),
		promise("answers of another request", float64(r.tally.crossed), 0),
		promise("answers cut without an error", float64(r.tally.silentlyCut), 0),
		promise("bookings that ran twice", float64(r.ranTwice), 0),
		promise("bookings refused \"not run\" that ran", float64(r.ranThoughNotRun), 0),
		promise("bookings answered that did not run", float64(r.lostThoughDone), 0),
		promise("work for the taken-out zone after 3 s", float64(r.zoneWork), 0),
		promise("work for a zone taken out while its agents were paused", float64(r.pausedWork), 0),
		promise("requests beyond what an engine bore", float64(r.overloads), 0),
		promise("requests cut by a planned stop", float64(r.cutByStop), 0),
	}
	for _, rollout := range r.rollouts {
		rows = append(rows,
			row{name: "seconds to all replicas of " + rollout.version, value: rollout.seconds},
			promise("copies drawn from the origin for "+rollout.version, rollout.copies, maxOriginCopies))
	}
	return rows
}

// write prints the table and returns an error that names the broken promises.
func (r *report) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nWHAT\tVALUE\tBOUND")
	var broken []string
	for _, line := range r.rows() {
		bound := ""
		if line.judged {
			bound = fmt.Sprintf("<= %g", line.bound)
			if line.value > line.bound {
				bound += " BROKEN"
				broken = append(broken, line.name)
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%s\n", line.name, line.value, bound)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(broken) > 0 {
		return errors.Newf("broken promises: %q", broken)
	}
	if r.tally.draftsWhole == 0 || r.tally.bookingsDone == 0 {
		return errors.New("no request was answered")
	}
	_, _ = fmt.Fprintln(out, "every promise held")
	return nil
}
