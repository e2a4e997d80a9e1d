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

The resources that each role needs at the planned size: 2,200 entries in front of
12,000 workers, 91,000 requests and 21 million tokens per second, 4 regions with 8
availability zones, bursts of 440 instances and 38,000 tickets per day. The current
size is 4 entries and 15 workers in 3 zones.

The program "mimosaward-capacity" generates this page from docs/measurements.jsonl,
which contains the output of the tests that "make bench" runs; some of them were run
one by one. A test checks that the page matches the measurements, and no number is
entered by hand. Run "make capacity" after new measurements.

`

const limitations = `## Known limitations

- Nothing on this page was measured with more processes than the table of slopes
  lists. Numbers for larger deployments are linear extrapolations.
- The time until a ticket reaches all processes does not include network latency,
  since the benchmark connects processes by pipes. At the planned size a ticket
  takes 4 more hops than at the current size.
- Resident memory was measured at the size of the demo. The number for the planned
  size adds the growth of the instance list and the scopes, but not that of
  connections.
- Processor time was measured on one machine that also ran other work.
- Filed tickets remain in the object API for "ticket show". Old tickets are never
  deleted.
- A process that takes over a partition of idempotency keys reads its segments
  first. Until it has done so, calls in that partition are refused with "not run".
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
		return "**exceeded**"
	}
	return "within"
}

func formatMebibytes(bytes float64) string { return fmt.Sprintf("%.1f MiB", bytes/(1<<20)) }

func formatPercent(value float64) string { return fmt.Sprintf("%.2f%%", 100*value) }
