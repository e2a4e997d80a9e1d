package fakes

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// InstanceStore is a fake of the platform's instance list. Changes become
// visible after a lag.
type InstanceStore struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration

	mu      sync.Mutex
	version int64
	changes []instanceChange
}

type instanceChange struct {
	instance  membership.Instance
	visibleAt time.Time
}

// Set records the current state of an instance.
func (s *InstanceStore) Set(instance membership.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	instance.Version = s.version
	s.changes = append(s.changes, instanceChange{instance: instance, visibleAt: time.Now().Add(s.Lag)})
}

// RoundTrip handles one request to the instance list. It is a
// platformclient.RoundTripFunc.
func (s *InstanceStore) RoundTrip(_ context.Context, method, address string, body []byte) (int, []byte, error) {
	parsed, err := url.Parse(address)
	if err != nil || !strings.HasPrefix(parsed.Path, "/instances") {
		return 404, []byte("unknown method or path"), nil
	}
	if method == "PUT" {
		var instance membership.Instance
		if err := json.Unmarshal(body, &instance); err != nil {
			return 400, []byte(err.Error()), nil
		}
		s.Set(instance)
		return 200, []byte("{}"), nil
	}
	since, err := strconv.ParseInt(parsed.Query().Get("since"), 10, 64)
	if err != nil {
		return 400, []byte("invalid version"), nil
	}
	return jsonResponse(s.changesSince(since))
}

func (s *InstanceStore) changesSince(version int64) platformclient.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]membership.Instance{}
	response := platformclient.Changes{Version: version}
	now := time.Now()
	for _, change := range s.changes {
		if change.visibleAt.After(now) {
			break
		}
		response.Version = max(response.Version, change.instance.Version)
		if change.instance.Version > version {
			newest[change.instance.Name] = change.instance
		}
	}
	for _, instance := range newest {
		response.Instances = append(response.Instances, instance)
	}
	return response
}
