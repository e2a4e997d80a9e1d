package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// Guards against a scrape of the metrics that takes a lending from the gateways to which the
// last digest announced it: only a digest renews it.
func TestScrapeRenewsNoLending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &ownership{owners: map[string]string{"endpoint": "self"}}
		d := newBusyFederation(nil).Local
		d.Self.Name, d.ownership = "self", map[string]*ownership{"drafts": owners}
		for _, name := range []string{"first", "second"} {
			d.peers = append(d.peers, peering.Peer{Digest: peering.Digest{Member: peering.Member{Name: name}}})
		}
		announced := d.renewLending(time.Now())
		if diff := cmp.Diff(map[string]string{"endpoint": "first"}, announced); diff != "" {
			t.Fatalf("lending that the first digest announces (-want +got):\n%s", diff)
		}
		expiry := owners.lending.expiresAt
		for range 20 {
			time.Sleep(lendDuration / 5)
			d.EndpointStats()
			d.Demands()
			if diff := cmp.Diff(announced, owners.lending.lentTo); diff != "" || owners.lending.expiresAt != expiry {
				t.Fatalf("lending after a scrape, which expires at %s instead of %s (-want +got):\n%s", owners.lending.expiresAt, expiry, diff)
			}
		}
	})
}
