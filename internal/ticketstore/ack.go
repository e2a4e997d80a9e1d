package ticketstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// WriteAck stores ack, which records that the readers of its zone have every
// ticket up to ack.UpTo. A lower number never replaces a higher one.
func (s *Store) WriteAck(ctx context.Context, ack Ack) error {
	ack.At = time.Now().UTC()
	var stored Ack
	object, err := s.Objects.Get(ctx, AckPrefix+ack.Zone)
	if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return errors.Wrapf(err, "decode acknowledgement of %s", ack.Zone)
		}
	}
	if stored.UpTo >= ack.UpTo {
		return nil
	}
	_, err = s.Objects.Put(ctx, AckPrefix+ack.Zone, object.Version, ack)
	return err
}

// Acks returns the acknowledgements of all zones.
func (s *Store) Acks(ctx context.Context) ([]Ack, error) {
	page, err := s.Objects.ListAll(ctx, AckPrefix, "")
	if err != nil {
		return nil, err
	}
	acks := make([]Ack, 0, len(page.Objects))
	for _, object := range page.Objects {
		var ack Ack
		if err := json.Unmarshal(object.Value, &ack); err != nil {
			return nil, errors.Wrapf(err, "decode %s", object.Key)
		}
		acks = append(acks, ack)
	}
	return acks, nil
}

// InForce reports whether the ticket with the given number is in force, that is,
// whether a majority of the zones has acknowledged it.
func InForce(number int64, zones []string, acks []Ack) bool {
	acknowledged := 0
	for _, zone := range zones {
		for _, ack := range acks {
			if ack.Zone == zone && ack.UpTo >= number {
				acknowledged++
			}
		}
	}
	return 2*acknowledged > len(zones)
}
