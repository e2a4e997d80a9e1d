package idempotency

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/mimosaward/mimosaward/internal/platformclient"
)

const (
	// segmentVersion is the version of a segment's object, which is written
	// once.
	segmentVersion = 1
	// segmentReaders is the number of segments that are read at a time.
	segmentReaders = 8
)

// sealed is the object of a segment.
type sealed struct {
	Entries map[keyHash]Entry `json:"entries"`
}

// segmentIndex knows which keys the segments of one range hold, in 16 bytes for
// each key. Only the holder of the range's turn may use it.
type segmentIndex struct {
	objects *platformclient.ObjectAPI
	index   int
	// keys holds the sorted keys of each segment.
	keys map[int64][]keyHash
	// last is the segment that was read last; the attempts of one segment end
	// at about the same time.
	last   sealed
	lastID int64
}

// refresh reads the segments that are listed and not known yet. What it has
// read it keeps, also if it fails.
func (s *segmentIndex) refresh(ctx context.Context, listed []segment) error {
	known := make(map[int64][]keyHash, len(listed))
	var missing []segment
	for _, one := range listed {
		if keys, found := s.keys[one.ID]; found {
			known[one.ID] = keys
		} else {
			missing = append(missing, one)
		}
	}
	s.keys = known
	read := make([][]keyHash, len(missing))
	readers := pool.New().WithMaxGoroutines(segmentReaders).WithErrors()
	for index, one := range missing {
		readers.Go(func() error {
			found, err := s.read(ctx, one)
			read[index] = sortedKeys(found.Entries)
			return err
		})
	}
	err := readers.Wait()
	for index, keys := range read {
		if keys != nil {
			s.keys[missing[index].ID] = keys
		}
	}
	return err
}

// read returns a segment. One past its retention may be deleted already.
func (s *segmentIndex) read(ctx context.Context, wanted segment) (sealed, error) {
	object, err := s.objects.Get(ctx, segmentKey(s.index, wanted.ID))
	if errors.Is(err, platformclient.ErrNotFound) && wanted.expired(time.Now()) {
		return sealed{Entries: map[keyHash]Entry{}}, nil
	}
	if err != nil {
		return sealed{}, err
	}
	var found sealed
	err = json.Unmarshal(object.Value, &found)
	return found, errors.Wrapf(err, "decode %s", object.Key)
}

// find returns the newest entry of a key in the listed segments.
func (s *segmentIndex) find(ctx context.Context, listed []segment, key keyHash) (Entry, bool, error) {
	for _, one := range slices.Backward(listed) {
		if _, held := slices.BinarySearchFunc(s.keys[one.ID], key, compareKeys); !held {
			continue
		}
		if s.lastID != one.ID {
			found, err := s.read(ctx, one)
			if err != nil {
				return Entry{}, false, err
			}
			s.last, s.lastID = found, one.ID
		}
		entry, found := s.last.Entries[key]
		return entry, found, nil
	}
	return Entry{}, false, nil
}

// seal stores entries as a segment. The segment exists already if another
// process has sealed the same version of the head.
func (s *segmentIndex) seal(ctx context.Context, id int64, entries map[keyHash]Entry) error {
	_, err := s.objects.Put(ctx, segmentKey(s.index, id), 0, sealed{Entries: entries})
	if err != nil && !errors.Is(err, platformclient.ErrConflict) {
		return err
	}
	s.keys[id] = sortedKeys(entries)
	s.last, s.lastID = sealed{Entries: entries}, id
	return nil
}

func (s *segmentIndex) remove(ctx context.Context, id int64) error {
	return s.objects.Delete(ctx, segmentKey(s.index, id), segmentVersion)
}

func sortedKeys(entries map[keyHash]Entry) []keyHash {
	if entries == nil {
		return nil
	}
	keys := make([]keyHash, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b keyHash) int { return slices.Compare(a[:], b[:]) }
