package informer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Errors of the object API.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object has another revision than expected, or
	// exists already.
	ErrConflict = errors.New("object has another revision")
	// ErrExpired means that the object API no longer has the history that a watch
	// asked for.
	ErrExpired = errors.New("history of the object API is gone")
	// ErrUnavailable means that the object API gave no answer or refused the call.
	// A write may have taken effect, or may still do so.
	ErrUnavailable = errors.New("object API is unavailable")
)

// Object is one stored object of a kind.
type Object struct {
	Name string `json:"name"`
	// Revision is the store's revision of the object's last change.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Status is what the system notes beside the value; empty if nothing.
	Status json.RawMessage `json:"status,omitempty"`
}

// Page is a part of a list. Revision is the store's when it answered.
type Page struct {
	Objects  []Object
	Revision int64
	HasMore  bool
}

// Change is an object that was written or deleted.
type Change struct {
	Object  Object
	Deleted bool
}

// Batch is the answer to a watch; the next one begins at Revision.
type Batch struct {
	Changes  []Change
	Revision int64
}
