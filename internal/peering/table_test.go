package peering_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// A gateway that starts again at another address, and is first known from a report, must be
// called at its new address as soon as that is known, and count as alive all the while.
func TestReportedGatewayGetsItsNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fleet(24, 2)
		table := &peering.Table{Self: members[0], Start: time.Now()}
		for _, member := range members {
			table.AddMember(member)
		}
		restarted := members[1]
		restarted.Incarnation, restarted.Control = 2, "new"
		table.RecordDigest(peering.Digest{Member: members[2], Reports: []peering.Report{{
			Cell: table.Cells().Of(restarted.Name), Summaries: []peering.Summary{{Name: restarted.Name, Incarnation: 2, Ready: true}},
		}}})
		table.AddMember(restarted)
		var got []peering.Member
		for _, peer := range table.RemotePeers() {
			got = append(got, peer.Digest.Member)
		}
		if diff := cmp.Diff([]peering.Member{restarted}, got); diff != "" {
			t.Errorf("live gateways of other cells (-want +got):\n%s", diff)
		}
	})
}
