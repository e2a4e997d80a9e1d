package event

import (
	"fmt"
	"strings"
)

// Reference returns the content of docs/log-events.md, the list of all events.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Log events\n\nEvery record contains the number of its event and the instance. Numbers are never\nreused: 1000 processes, 2000 tickets, 3000 weights, 4000 requests.\n\n| event | level | message | action |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.number, e.level, e.text, e.advice)
	}
	return page.String()
}
