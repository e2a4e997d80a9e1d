package diagnostic

import (
	"sort"
	"strings"
)

// List collects findings. The zero value is ready for use; it is not safe for
// concurrent use.
type List struct {
	findings []Finding
}

// Add appends one finding. A second finding at the same key path of the same
// file is dropped, since it follows from the first.
func (l *List) Add(f Finding) {
	for _, existing := range l.findings {
		if f.path != "" && existing.path == f.path && existing.file == f.file {
			return
		}
	}
	l.findings = append(l.findings, f)
}

// Empty reports whether nothing was found.
func (l *List) Empty() bool { return len(l.findings) == 0 }

// All returns the findings ordered by file and line.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].file != sorted[j].file {
			return sorted[i].file < sorted[j].file
		}
		return sorted[i].line < sorted[j].line
	})
	return sorted
}

// Err returns an error that holds every finding, or nil if there is none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{findings: l.All()}
}

// Error reports every finding of a check, one a line.
type Error struct {
	findings []Finding
}

// Findings returns the findings in order.
func (e *Error) Findings() []Finding { return e.findings }

// Error joins the findings with line breaks.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.findings))
	for _, f := range e.findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
