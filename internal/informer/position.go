package informer

import "cmp"

// Position is a point in the history of the object store. Revisions order the points of an era;
// when the store returns from an older copy of itself, a new era begins, in which revisions are
// given out again.
type Position struct {
	Era      int64
	Revision int64
}

// Compare returns -1, 0 or 1 if p is before, the same as or after other.
func (p Position) Compare(other Position) int {
	if p.Era != other.Era {
		return cmp.Compare(p.Era, other.Era)
	}
	return cmp.Compare(p.Revision, other.Revision)
}

// After reports whether p is after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is no point in the history.
func (p Position) IsZero() bool { return p == Position{} }
