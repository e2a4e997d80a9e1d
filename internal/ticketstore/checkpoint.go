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
	// partBytes is the size from which a part of a checkpoint is closed.
	partBytes = 256 * bytesize.KiB
	// partVersion is the version of a part's object, which is written once.
	partVersion = 1
)

// readCheckpoint returns the newest checkpoint and its object version, or an
// empty one.
func (d *Store) readCheckpoint(ctx context.Context) (checkpoint, int64, error) {
	object, err := d.Objects.Get(ctx, checkpointKey)
	if errors.Is(err, platformclient.ErrNotFound) {
		return checkpoint{}, 0, nil
	}
	if err != nil {
		return checkpoint{}, 0, err
	}
	var held checkpoint
	if err := json.Unmarshal(object.Value, &held); err != nil {
		return checkpoint{}, 0, errors.Wrap(err, "decode checkpoint")
	}
	return held, object.Version, nil
}

// readParts returns the scopes of a checkpoint. The error is ErrNotFound if a
// newer checkpoint has replaced it meanwhile.
func (d *Store) readParts(ctx context.Context, held checkpoint) ([]desiredstate.Entry, error) {
	var entries []desiredstate.Entry
	for part := range held.Parts {
		object, err := d.Objects.Get(ctx, partKey(held.UpTo, part))
		if err != nil {
			return nil, err
		}
		var read checkpointPart
		if err := json.Unmarshal(object.Value, &read); err != nil {
			return nil, errors.Wrapf(err, "decode %s", object.Key)
		}
		entries = append(entries, read.Entries...)
	}
	return entries, nil
}

// WriteCheckpoint stores the snapshot if the stored checkpoint is old enough.
// Several readers may try; the conditional update lets one through and a
// checkpoint never goes back.
func (d *Store) WriteCheckpoint(ctx context.Context, snapshot *desiredstate.Snapshot) error {
	held, version, err := d.readCheckpoint(ctx)
	if err != nil || snapshot.UpTo() < held.UpTo+checkpointInterval {
		return err
	}
	next, err := d.writeParts(ctx, snapshot)
	if err != nil {
		return err
	}
	_, err = d.Objects.Put(ctx, checkpointKey, version, next)
	switch {
	case err == nil:
		return d.deleteParts(ctx, held)
	case !errors.Is(err, platformclient.ErrConflict):
		return err
	}
	// Another reader was first. Its parts are these if it wrote up to the same
	// ticket, and these are of no use otherwise.
	winner, _, err := d.readCheckpoint(ctx)
	if err != nil || winner.UpTo == next.UpTo {
		return err
	}
	return d.deleteParts(ctx, next)
}

// writeParts stores the scopes of a snapshot.
func (d *Store) writeParts(ctx context.Context, snapshot *desiredstate.Snapshot) (checkpoint, error) {
	parts, err := splitParts(snapshot.Entries(0))
	if err != nil {
		return checkpoint{}, err
	}
	for index, part := range parts {
		_, err := d.Objects.Put(ctx, partKey(snapshot.UpTo(), index), 0, part)
		if err != nil && !errors.Is(err, platformclient.ErrConflict) {
			return checkpoint{}, err
		}
	}
	return checkpoint{UpTo: snapshot.UpTo(), Parts: len(parts)}, nil
}

// splitParts deals scopes to parts that each fit into one object.
func splitParts(entries []desiredstate.Entry) ([]checkpointPart, error) {
	var parts []checkpointPart
	var open checkpointPart
	var bytes bytesize.Bytes
	for _, entry := range entries {
		text, err := json.Marshal(entry)
		if err != nil {
			return nil, errors.Wrapf(err, "encode scope %s", entry.Scope)
		}
		open.Entries = append(open.Entries, entry)
		if bytes += bytesize.Bytes(len(text)); bytes >= partBytes {
			parts = append(parts, open)
			open, bytes = checkpointPart{}, 0
		}
	}
	if len(open.Entries) > 0 {
		parts = append(parts, open)
	}
	return parts, nil
}

// deleteParts removes the parts of a checkpoint that was replaced.
func (d *Store) deleteParts(ctx context.Context, replaced checkpoint) error {
	for part := range replaced.Parts {
		err := d.Objects.Delete(ctx, partKey(replaced.UpTo, part), partVersion)
		if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
			return err
		}
	}
	return nil
}

// CheckpointDue reports whether a snapshot is far enough after the checkpoint
// at held to be worth a call.
func CheckpointDue(held, upTo int64) bool { return upTo >= held+checkpointInterval }
