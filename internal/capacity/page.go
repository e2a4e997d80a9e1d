package capacity

import (
	"fmt"
	"strings"
)

// Page returns the text of docs/CAPACITY.md for the measurements.
func Page(measurements []Measurement) string {
	m := newModel(measurements)
	var page strings.Builder
	page.WriteString(intro)
	page.WriteString(m.slopesSection())
	page.WriteString(m.rolesSection())
	page.WriteString(m.platformSection())
	page.WriteString(m.requestsSection())
	page.WriteString(m.keysSection())
	page.WriteString(m.burstsSection())
	page.WriteString(m.eventsSection())
	page.WriteString(limitations)
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

const limitations = `## What is not carried yet

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

// tableRow returns a row of a Markdown table.
func tableRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |\n" }

// tableHeader returns the header of a Markdown table.
func tableHeader(cells ...string) string {
	return tableRow(cells...) + tableRow(strings.Split(strings.Repeat("---,", len(cells)-1)+"---", ",")...)
}

func formatNumber(value float64) string {
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

// compareWithBudget returns the text that says whether a value is within its budget.
func compareWithBudget(value, budget float64) string {
	if value > budget {
		return "**misses it**"
	}
	return "within"
}

func formatMebibytes(bytes float64) string { return fmt.Sprintf("%.1f MiB", bytes/(1<<20)) }

func formatPercent(value float64) string { return fmt.Sprintf("%.2f%%", 100*value) }
