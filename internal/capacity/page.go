package capacity

import (
	"fmt"
	"strings"
)

// Page returns docs/CAPACITY.md for the measurements.
func Page(all []Measurement) string {
	m := newModel(all)
	var page strings.Builder
	page.WriteString(intro)
	page.WriteString(m.slopes())
	page.WriteString(m.roles())
	page.WriteString(m.platform())
	page.WriteString(m.requests())
	page.WriteString(m.keys())
	page.WriteString(m.bursts())
	page.WriteString(m.events())
	page.WriteString(limits)
	return page.String()
}

const intro = `# Capacity

What each role needs at the planned size: 2,200 entries before 12,000 workers,
91,000 requests and 21 million tokens a second, 4 regions with 8 availability
zones, bursts of 440 instances and 38,000 tickets a day. Today's size is 4
entries and 15 workers in 3 zones.

The program "mimosaward-capacity" writes this page from docs/measurements.jsonl,
whose lines the tests behind "make bench" printed, some of them run one by one; a
test holds the page against it. No figure is typed
by hand. Run "make capacity" after new measurements.

`

const limits = `## What is not carried yet

- Nothing here was measured with more processes than the table of slopes says;
  the rest is a straight line through those points.
- Latency between processes is not part of the time to everywhere: the bench
  joins them by pipes. At the planned size a ticket passes 4 hops more than at
  today's.
- Resident memory was measured at the demo's size; at the planned size the growth of
  the instance list and the scopes is added, but not that of connections.
- Processor time was measured on one machine, with other work on it.
- Filed tickets stay in the object API for "ticket show"; nothing deletes old ones.
- A process that takes over a range of idempotency keys reads its segments first;
  calls of that range are refused "not run" meanwhile.
`

// row writes one table row.
func row(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |\n" }

// header writes a table's head.
func header(cells ...string) string {
	return row(cells...) + row(strings.Split(strings.Repeat("---,", len(cells)-1)+"---", ",")...)
}

func number(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	case value >= 1:
		return fmt.Sprintf("%.1f", value)
	default:
		return fmt.Sprintf("%.3f", value)
	}
}

// verdict compares a value with its budget.
func verdict(value, budget float64) string {
	if value > budget {
		return "**misses it**"
	}
	return "within"
}

func mebibytes(bytes float64) string { return fmt.Sprintf("%.1f MiB", bytes/(1<<20)) }

func share(value float64) string { return fmt.Sprintf("%.2f%%", 100*value) }
