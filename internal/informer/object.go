package informer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Errors returned by calls to the object API.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict reports that the object does not have the expected revision, or
	// already exists.
	ErrConflict = errors.New("object revision conflict")
	// ErrExpired reports that the object API no longer has the history that a watch
	// requested.
	ErrExpired = errors.New("requested history of the object API has expired")
	// ErrUnavailable reports that the object API did not respond or refused the call.
	// A write may have taken effect, or may take effect later.
	ErrUnavailable = errors.New("object API is unavailable")
)

// Object is a stored object of a kind.
type Object struct {
	Name string `json:"name"`
	// Era is the store's era in which the object was read.
	Era int64 `json:"era,omitempty"`
	// Revision is the revision of the object store at the last change of the object.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Status is data that the system stores alongside the value; empty if there is none.
	Status json.RawMessage `json:"status,omitempty"`
}

// Page is one page of a list. Era and Revision are those of the object store at the time of
// the response. The era rises when the store returns from an older copy of itself, after which
// revisions are given out again.
type Page struct {
	Objects  []Object
	Era      int64
	Revision int64
	HasMore  bool
}

// Position returns the position of the response.
func (p *Page) Position() Position { return Position{Era: p.Era, Revision: p.Revision} }

// Change is an object that was written or deleted.
type Change struct {
	Object  Object
	Deleted bool
}

// Batch is the response to a watch. The next watch continues after Revision.
type Batch struct {
	Changes  []Change
	Era      int64
	Revision int64
}

// limited returns the object without a value and a status that exceed MaxValueBytes.
func (i *Informer) limited(object Object) Object {
	if i.MaxValueBytes > 0 && len(object.Value) > i.MaxValueBytes {
		object.Value = nil
	}
	if i.MaxValueBytes > 0 && len(object.Status) > i.MaxValueBytes {
		object.Status = nil
	}
	return object
}
