package ticketstore

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

const (
	// partSize is the size at which a part of a checkpoint is complete and the next
	// one is started.
	partSize = 256 * bytesize.KiB
	// partVersion is the object version of a part, since a part is written only
	// once.
	partVersion = 1
)

// readCheckpoint returns the newest checkpoint and its object version, or an empty
// checkpoint and version 0 if there is none.
func (s *Store) readCheckpoint(ctx context.Context) (checkpoint, int64, error) {
	object, err := s.Objects.Get(ctx, checkpointKey)
	if errors.Is(err, platformclient.ErrNotFound) {
		return checkpoint{}, 0, nil
	}
	if err != nil {
		return checkpoint{}, 0, err
	}
	var newest checkpoint
	if err := json.Unmarshal(object.Value, &newest); err != nil {
		return checkpoint{}, 0, errors.Wrap(err, "decode checkpoint")
	}
	return newest, object.Version, nil
}

// readParts returns the entries of a checkpoint. The error is ErrNotFound if a
// newer checkpoint has replaced it in the meantime.
func (s *Store) readParts(ctx context.Context, stored checkpoint) ([]desiredstate.Entry, error) {
	var entries []desiredstate.Entry
	for part := range stored.Parts {
		object, err := s.Objects.Get(ctx, partKey(stored.UpTo, part))
		if err != nil {
			return nil, err
		}
		var content checkpointPart
		if err := json.Unmarshal(object.Value, &content); err != nil {
			return nil, errors.Wrapf(err, "decode %s", object.Key)
		}
		entries = append(entries, content.Entries...)
	}
	return entries, nil
}

// WriteCheckpoint stores the snapshot as the new checkpoint if it is at least
// checkpointInterval tickets after the stored one. Several readers may try this
// concurrently. The conditional update lets only one of them succeed, and a
// checkpoint is never replaced by an older one.
func (s *Store) WriteCheckpoint(ctx context.Context, snapshot *desiredstate.Snapshot) error {
	stored, version, err := s.readCheckpoint(ctx)
	if err != nil || snapshot.UpTo() < stored.UpTo+checkpointInterval {
		return err
	}
	next, err := s.writeParts(ctx, snapshot)
	if err != nil {
		return err
	}
	_, err = s.Objects.Put(ctx, checkpointKey, version, next)
	switch {
	case err == nil:
		return s.deleteParts(ctx, stored)
	case !errors.Is(err, platformclient.ErrConflict):
		return err
	}
	// Another reader was first. If its checkpoint is up to the same ticket, it uses
	// the parts just written. Otherwise nothing uses them.
	winner, _, err := s.readCheckpoint(ctx)
	if err != nil || winner.UpTo == next.UpTo {
		return err
	}
	return s.deleteParts(ctx, next)
}

// writeParts stores the entries of a snapshot as the parts of a checkpoint.
func (s *Store) writeParts(ctx context.Context, snapshot *desiredstate.Snapshot) (checkpoint, error) {
	parts, err := splitParts(snapshot.EntriesAfter(0))
	if err != nil {
		return checkpoint{}, err
	}
	for index, part := range parts {
		_, err := s.Objects.Put(ctx, partKey(snapshot.UpTo(), index), 0, part)
		if err != nil && !errors.Is(err, platformclient.ErrConflict) {
			return checkpoint{}, err
		}
	}
	return checkpoint{UpTo: snapshot.UpTo(), Parts: len(parts)}, nil
}

// splitParts splits entries into parts that each fit into one object.
func splitParts(entries []desiredstate.Entry) ([]checkpointPart, error) {
	var parts []checkpointPart
	var current checkpointPart
	var bytes bytesize.Bytes
	for _, entry := range entries {
		encoded, err := json.Marshal(entry)
		if err != nil {
			return nil, errors.Wrapf(err, "encode scope %s", entry.Scope)
		}
		current.Entries = append(current.Entries, entry)
		if bytes += bytesize.Bytes(len(encoded)); bytes >= partSize {
			parts = append(parts, current)
			current, bytes = checkpointPart{}, 0
		}
	}
	if len(current.Entries) > 0 {
		parts = append(parts, current)
	}
	return parts, nil
}

// deleteParts deletes the parts of a checkpoint that is no longer used.
func (s *Store) deleteParts(ctx context.Context, replaced checkpoint) error {
	for part := range replaced.Parts {
		err := s.Objects.Delete(ctx, partKey(replaced.UpTo, part), partVersion)
		if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
			return err
		}
	}
	return nil
}

// CheckpointDue reports whether a snapshot up to ticket upTo is at least
// checkpointInterval tickets after the checkpoint at lastUpTo. Otherwise a call of
// WriteCheckpoint has no effect.
func CheckpointDue(lastUpTo, upTo int64) bool { return upTo >= lastUpTo+checkpointInterval }
