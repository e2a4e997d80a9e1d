package diagnostic

import (
	"sort"
	"strings"
)

// List is a list of findings. The zero value is an empty list ready to use. A List
// is not safe for concurrent use.
type List struct {
	findings []Finding
}

// Add appends a finding. It drops a second finding at the same key path of the same
// file, since that one is a consequence of the first.
func (l *List) Add(f Finding) {
	for _, existing := range l.findings {
		if f.path != "" && existing.path == f.path && existing.file == f.file {
			return
		}
	}
	l.findings = append(l.findings, f)
}

// Empty reports whether the list has no findings.
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

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{findings: l.All()}
}

// Error is the error of a check. It contains all findings.
type Error struct {
	findings []Finding
}

// Findings returns the findings, ordered by file and line.
func (e *Error) Findings() []Finding { return e.findings }

// Error implements error. It returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.findings))
	for _, f := range e.findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
