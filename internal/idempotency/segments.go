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
	// segmentObjectVersion is the version of every segment object, because it is
	// written only once.
	segmentObjectVersion = 1
	// maxSegmentReaders is the maximum number of segments read concurrently.
	maxSegmentReaders = 8
)

// segmentObject is the stored content of a segment.
type segmentObject struct {
	Entries map[keyHash]Entry `json:"entries"`
}

// segmentIndex is an in-memory index of the keys in the segments of one partition.
// It uses 16 bytes per key. Callers must hold the writeLock of the partition's
// writeQueue.
type segmentIndex struct {
	objects   *platformclient.ObjectAPI
	partition int
	// keys holds the sorted key hashes of each segment, by segment ID.
	keys map[int64][]keyHash
	// cached is the segment that was read or sealed last. One segment is enough
	// because the attempts of a segment end at about the same time.
	cached   segmentObject
	cachedID int64
}

// refresh reads the given segments that are not in the index and removes all
// others from it. If it fails, it keeps the segments that it has read.
func (s *segmentIndex) refresh(ctx context.Context, segments []segmentRef) error {
	loaded := make(map[int64][]keyHash, len(segments))
	var missing []segmentRef
	for _, segment := range segments {
		if keys, found := s.keys[segment.ID]; found {
			loaded[segment.ID] = keys
		} else {
			missing = append(missing, segment)
		}
	}
	s.keys = loaded
	fetched := make([][]keyHash, len(missing))
	readers := pool.New().WithMaxGoroutines(maxSegmentReaders).WithErrors()
	for index, segment := range missing {
		readers.Go(func() error {
			object, err := s.read(ctx, segment)
			fetched[index] = sortedKeys(object.Entries)
			return err
		})
	}
	err := readers.Wait()
	for index, keys := range fetched {
		if keys != nil {
			s.keys[missing[index].ID] = keys
		}
	}
	return err
}

// read reads a segment. It returns an empty one if the segment does not exist and
// has expired, because it may have been deleted.
func (s *segmentIndex) read(ctx context.Context, segment segmentRef) (segmentObject, error) {
	object, err := s.objects.Get(ctx, segmentKey(s.partition, segment.ID))
	if errors.Is(err, platformclient.ErrNotFound) && segment.expired(time.Now()) {
		return segmentObject{Entries: map[keyHash]Entry{}}, nil
	}
	if err != nil {
		return segmentObject{}, err
	}
	var contents segmentObject
	err = json.Unmarshal(object.Value, &contents)
	return contents, errors.Wrapf(err, "decode segment %s", object.Key)
}

// find returns the newest entry for a key in the given segments and reports
// whether there is one.
func (s *segmentIndex) find(ctx context.Context, segments []segmentRef, key keyHash) (Entry, bool, error) {
	for _, segment := range slices.Backward(segments) {
		if _, contains := slices.BinarySearchFunc(s.keys[segment.ID], key, compareHashes); !contains {
			continue
		}
		if s.cachedID != segment.ID {
			object, err := s.read(ctx, segment)
			if err != nil {
				return Entry{}, false, err
			}
			s.cached, s.cachedID = object, segment.ID
		}
		entry, found := s.cached.Entries[key]
		return entry, found, nil
	}
	return Entry{}, false, nil
}

// seal stores entries as a segment. A conflict is not an error: it means that
// another process has sealed the same version of the head.
func (s *segmentIndex) seal(ctx context.Context, id int64, entries map[keyHash]Entry) error {
	_, err := s.objects.Put(ctx, segmentKey(s.partition, id), 0, segmentObject{Entries: entries})
	if err != nil && !errors.Is(err, platformclient.ErrConflict) {
		return err
	}
	s.keys[id] = sortedKeys(entries)
	s.cached, s.cachedID = segmentObject{Entries: entries}, id
	return nil
}

// delete deletes a segment and its keys. It is not an error if the segment does not exist.
func (s *segmentIndex) delete(ctx context.Context, id int64) error {
	err := s.objects.Delete(ctx, segmentKey(s.partition, id), segmentObjectVersion)
	if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
		return err
	}
	delete(s.keys, id)
	if s.cachedID == id {
		s.cached, s.cachedID = segmentObject{}, 0
	}
	return nil
}

func sortedKeys(entries map[keyHash]Entry) []keyHash {
	if entries == nil {
		return nil
	}
	keys := make([]keyHash, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareHashes)
	return keys
}

func compareHashes(a, b keyHash) int { return slices.Compare(a[:], b[:]) }
