// Package platformclient implements clients of the platform's published protocols:
// the object API and the instance list. It does not retry: callers decide how to
// handle an outage.
package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

// Errors of the object API.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("object version does not match")
	// ErrUnavailable means that the object API sent no valid response or
	// rejected the call. A write may have taken effect.
	ErrUnavailable = errors.New("object API is unavailable")
)

// RoundTripFunc sends one HTTP request and returns the status and body of the
// response.
type RoundTripFunc func(ctx context.Context, method, url string, body []byte) (int, []byte, error)

// Object is one stored object. Version counts the changes of the object, and
// Revision counts the changes of the whole store.
type Object struct {
	Key      string          `json:"key"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Page is the response to a list or watch call. Revision is the store's revision
// at the time of the response. More is true if a list has further objects.
type Page struct {
	Objects  []Object `json:"objects"`
	Revision int64    `json:"revision"`
	More     bool     `json:"more,omitempty"`
}

// ObjectAPI calls the object API. Set the fields before the first call; the
// methods are safe for concurrent use.
type ObjectAPI struct {
	BaseURL string
	HTTP    RoundTripFunc

	reads  atomic.Int64
	writes atomic.Int64
}

// Reads returns the number of read calls made, watches included.
func (o *ObjectAPI) Reads() int64 { return o.reads.Load() }

// Writes returns the number of write calls made.
func (o *ObjectAPI) Writes() int64 { return o.writes.Load() }

// Get returns one object, or ErrNotFound.
func (o *ObjectAPI) Get(ctx context.Context, key string) (Object, error) {
	o.reads.Add(1)
	var object Object
	err := o.call(ctx, "GET", "/objects/"+key, nil, &object)
	return object, errors.Wrapf(err, "get object %s", key)
}

// Put stores value if the object's version is ifVersion; 0 means that it must
// not exist. It returns the new version, ErrConflict, or ErrUnavailable, after
// which the write may still have taken effect.
func (o *ObjectAPI) Put(ctx context.Context, key string, ifVersion int64, value any) (int64, error) {
	o.writes.Add(1)
	body, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "encode object %s", key)
	}
	if len(body) > MaxValueBytes {
		return 0, errors.Newf("object %s has %d bytes, more than %d", key, len(body), MaxValueBytes)
	}
	var stored Object
	err = o.call(ctx, "PUT", fmt.Sprintf("/objects/%s?ifVersion=%d", key, ifVersion), body, &stored)
	return stored.Version, errors.Wrapf(err, "put object %s", key)
}

// Delete deletes the object if its version is ifVersion. It returns ErrNotFound,
// ErrConflict, or ErrUnavailable, after which the object may nevertheless have
// been deleted.
func (o *ObjectAPI) Delete(ctx context.Context, key string, ifVersion int64) error {
	o.writes.Add(1)
	var removed Object
	err := o.call(ctx, "DELETE", fmt.Sprintf("/objects/%s?ifVersion=%d", key, ifVersion), nil, &removed)
	return errors.Wrapf(err, "delete object %s", key)
}

// ListAll returns all objects below prefix whose keys are greater than after,
// read page by page. It returns the revision of the first page, so that a watch
// from it misses no change.
func (o *ObjectAPI) ListAll(ctx context.Context, prefix, after string) (Page, error) {
	page, err := o.List(ctx, prefix, after)
	for more := page.More; more && err == nil; {
		var nextPage Page
		nextPage, err = o.List(ctx, prefix, page.Objects[len(page.Objects)-1].Key)
		page.Objects = append(page.Objects, nextPage.Objects...)
		more = nextPage.More && len(nextPage.Objects) > 0
	}
	page.More = false
	return page, err
}

// List returns the first page of objects below prefix whose keys are greater than
// after.
func (o *ObjectAPI) List(ctx context.Context, prefix, after string) (Page, error) {
	o.reads.Add(1)
	query := url.Values{"prefix": {prefix}, "after": {after}}
	var page Page
	err := o.call(ctx, "GET", "/objects?"+query.Encode(), nil, &page)
	return page, errors.Wrapf(err, "list objects %s", prefix)
}

// Watch returns the objects below prefix that changed after revision since. It
// waits at most the duration wait for the first change.
func (o *ObjectAPI) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Page, error) {
	o.reads.Add(1)
	query := url.Values{"prefix": {prefix}, "since": {fmt.Sprint(since)}, "wait": {wait.String()}}
	var page Page
	err := o.call(ctx, "GET", "/watch?"+query.Encode(), nil, &page)
	return page, errors.Wrapf(err, "watch objects %s", prefix)
}

func (o *ObjectAPI) call(ctx context.Context, method, path string, body []byte, result any) error {
	status, responseBody, err := o.HTTP(ctx, method, strings.TrimSuffix(o.BaseURL, "/")+path, body)
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return decodeResponse(status, responseBody, result)
}

func decodeResponse(status int, body []byte, result any) error {
	switch {
	case status == 404:
		return ErrNotFound
	case status == 409:
		return ErrConflict
	case status != 200:
		return errors.Mark(errors.Newf("status %d: %s", status, body), ErrUnavailable)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Mark(errors.Wrap(err, "decode response"), ErrUnavailable)
	}
	return nil
}
