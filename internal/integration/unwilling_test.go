package integration

import (
	"strings"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// arrivalsByGateway returns the times of the requests that an endpoint received from each
// gateway since a time, in the order of arrival.
func arrivalsByGateway(endpoint *platformtest.Endpoint, since time.Time) map[string][]time.Time {
	times := map[string][]time.Time{}
	for _, arrival := range endpoint.ArrivalLog() {
		if gateway, _, found := strings.Cut(arrival.AttemptID, "-"); found && !arrival.At.Before(since) {
			times[gateway] = append(times[gateway], arrival.At)
		}
	}
	return times
}

// unwillingCases are installations in which gateways own, share and lend endpoints.
var unwillingCases = map[string]struct {
	service, path string
	gateways      [zoneCount]int
	interval      time.Duration
}{
	"shared":            {"booking", statusPath, oneGatewayPerZone, 50 * time.Millisecond},
	"owned":             {"drafts", draftPath, oneGatewayPerZone, 100 * time.Millisecond},
	"shared by cells":   {"booking", statusPath, gatewaysOfCells, 300 * time.Millisecond},
	"lent across cells": {"drafts", draftPath, gatewaysOfCells, 300 * time.Millisecond},
}

// Guards against requests to an endpoint that says in its responses that it leaves, while its
// entry in the object store does not.
func TestLeavingEndpointReceivesNoMoreRequests(t *testing.T) {
	for name, c := range unwillingCases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, c.gateways, func(i *installation) {
				load := i.startLoad(i.gatewayAddresses(c.gateways), c.path, c.interval, 12*time.Second)
				time.Sleep(time.Second)
				announcedAt := time.Now()
				for zone := range zoneCount {
					leaving := i.endpoints[engineName(zone, 0)]
					if c.service == "booking" {
						if zone > 0 {
							break
						}
						leaving = i.endpoints["booking-0-0"]
					}
					leaving.Announce(platformtest.Announcement{Leaving: true})
				}
				load.group.Wait()
				for id, endpoint := range i.endpoints {
					if endpoint.Service != c.service || !endpoint.Leaving() {
						continue
					}
					for gateway, times := range arrivalsByGateway(endpoint, announcedAt) {
						if last := times[len(times)-1].Sub(times[0]); last > bounds.Drain {
							t.Errorf("%s sent requests to %s until %v after the first response that said it leaves, at most %v are allowed", gateway, id, last, bounds.Drain)
						}
					}
				}
				if served := load.servedSince(announcedAt.Add(2 * time.Second)); served == 0 {
					t.Error("no requests are served by the other endpoints")
				}
			})
		})
	}
}

// Guards against requests from a gateway to an endpoint that has turned it away and named the
// time for which it wants none.
func TestGatewayThatWasTurnedAwayWaits(t *testing.T) {
	const (
		retryAfter = 3 * time.Second
		// reaction is the time after which requests count, maxRequests their largest number.
		reaction    = 500 * time.Millisecond
		maxRequests = 2
	)
	for name, c := range unwillingCases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, c.gateways, func(i *installation) {
				load := i.startLoad(i.gatewayAddresses(c.gateways), c.path, c.interval, 8*time.Second)
				time.Sleep(time.Second)
				turnedAway := time.Now()
				i.setFaults(c.service, platformtest.EndpointFaults{Overloaded: true, RetryAfter: "3"})
				time.Sleep(4 * time.Second)
				i.setFaults(c.service, platformtest.EndpointFaults{})
				ended := time.Now()
				load.group.Wait()
				for id, endpoint := range i.endpoints {
					if endpoint.Service != c.service {
						continue
					}
					for gateway, times := range arrivalsByGateway(endpoint, turnedAway) {
						count := 0
						for _, at := range times[1:] {
							if since := at.Sub(times[0]); since > reaction && since < retryAfter && at.Before(ended) {
								count++
							}
						}
						if count > maxRequests {
							t.Errorf("%s sent %d requests to %s within the %v for which it wants none, at most %d are allowed", gateway, count, id, retryAfter, maxRequests)
						}
					}
				}
				if served := load.servedSince(ended.Add(retryAfter)); served == 0 {
					t.Error("no requests are served after the endpoints take them again")
				}
			})
		})
	}
}
