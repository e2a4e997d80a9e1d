package platformclient

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// InstanceList reads the platform's list of instances, which is updated with a
// delay. Set the fields before the first call.
type InstanceList struct {
	BaseURL string
	HTTP    RoundTripFunc
}

// Changes is the response of the instance list.
type Changes struct {
	Version   int64                 `json:"version"`
	Instances []membership.Instance `json:"instances"`
}

// ChangesSince returns the instances that changed after the given version of the
// list.
func (l *InstanceList) ChangesSince(ctx context.Context, version int64) (Changes, error) {
	path := fmt.Sprintf("%s/instances?since=%d", strings.TrimSuffix(l.BaseURL, "/"), version)
	status, body, err := l.HTTP(ctx, "GET", path, nil)
	if err != nil {
		return Changes{}, errors.Wrap(err, "read instance list")
	}
	var changes Changes
	err = decodeResponse(status, body, &changes)
	return changes, errors.Wrap(err, "read instance list")
}
