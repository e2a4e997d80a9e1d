// Package diagnostic represents the problems found while checking a file.
//
// A check does not stop at the first problem: it collects every finding with
// its position and returns them together.
package diagnostic

import (
	"fmt"
)

// Finding is a problem at a position in a file.
type Finding struct {
	file    string
	line    int
	path    string
	problem string
}

// New returns a finding. The line counts from 1; 0 means the whole file.
func New(file string, line int, path, problem string) Finding {
	return Finding{file: file, line: line, path: path, problem: problem}
}

// File returns the name of the checked file.
func (f Finding) File() string { return f.file }

// Line returns the line, counted from 1, or 0 for the whole file.
func (f Finding) Line() int { return f.line }

// Path returns the key path, such as "pools[0].version".
func (f Finding) Path() string { return f.path }

// Problem returns the description of the problem, in one sentence.
func (f Finding) Problem() string { return f.problem }

// String formats the finding as "file:line: path: problem".
func (f Finding) String() string {
	position := f.file
	if f.line > 0 {
		position = fmt.Sprintf("%s:%d", f.file, f.line)
	}
	if f.path == "" {
		return fmt.Sprintf("%s: %s", position, f.problem)
	}
	return fmt.Sprintf("%s: %s: %s", position, f.path, f.problem)
}
