package peering_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// node is a gateway that runs only peering.
type node struct {
	table *peering.Table
	group *concurrency.Group
	// quarantine shares crashes of engines.
	quarantine *quarantine.Quarantine
	// cutOff is true while the gateway cannot reach the object store.
	cutOff atomic.Bool
}

func newMember(index int, incarnation int64) peering.Member {
	name := fmt.Sprintf("gateway-%d", index)
	return peering.Member{Name: name, Region: fmt.Sprint("region-", index%2), Control: name + ":81", Incarnation: incarnation}
}

// startNode starts a gateway whose only seed is the first gateway.
func startNode(t *testing.T, network *fakes.Network, index int, incarnation int64) *node {
	t.Helper()
	self := newMember(index, incarnation)
	host := network.ForProcess(self.Name)
	dial := func(_ context.Context, address string) (net.Conn, error) { return host.Dial(address) }
	n := &node{table: &peering.Table{Self: self, Start: time.Now()}, group: concurrency.NewGroup(context.Background())}
	n.quarantine = &quarantine.Quarantine{
		Self: self.Name, Gateways: n.aliveNames, OnRejected: func(quarantine.Decision) {}, OnEnded: func(string) {}, OnTrial: func(string) {},
	}
	peers := &peering.Peering{
		Self: self, Table: n.table, Control: &controlrpc.Client{Dial: dial}, BulkControl: &controlrpc.Client{Dial: dial}, Log: event.Discard(),
		Digest: func() peering.Digest {
			return peering.Digest{Ready: true, ReadsStore: n.readsStore(), Quarantine: n.quarantine.Digest(time.Now())}
		},
		Seeds:    []string{newMember(0, 0).Control},
		OnDigest: func(digest peering.Digest) { n.quarantine.Merge(digest.Quarantine, true, time.Now()) },
		OnReport: func(report peering.Report) { n.quarantine.Merge(report.Quarantine, false, time.Now()) },
		CellNews: n.quarantine.CellNews, News: n.quarantine.News,
	}
	server := controlrpc.NewServer()
	if err := peers.Register(server); err != nil {
		t.Fatal(err)
	}
	listener, err := host.Listen(self.Control)
	if err != nil {
		t.Fatal(err)
	}
	n.group.Go(func(ctx context.Context) { server.Run(ctx, listener) })
	n.group.Go(peers.Run)
	n.group.Every(100*time.Millisecond, func(context.Context) { n.table.IsReader() })
	return n
}

func (n *node) readsStore() bool { return n.table.IsReader() && !n.cutOff.Load() }

func (n *node) aliveNames() []string {
	var names []string
	for _, peer := range n.table.Alive() {
		names = append(names, peer.Digest.Member.Name)
	}
	return names
}

// aliveMembers returns the names and incarnations of the gateways that the node considers alive.
func (n *node) aliveMembers() []string {
	var names []string
	for _, peer := range n.table.Alive() {
		names = append(names, fmt.Sprint(peer.Digest.Member.Name, " ", peer.Digest.Member.Incarnation))
	}
	return names
}

func (n *node) stop(network *fakes.Network, index int) {
	n.group.Stop()
	network.CloseConnections(newMember(index, 0).Name)
	n.group.Wait()
}

// Gateways must discover each other from one seed without the object store, detect that
// a gateway stopped, and replace a restarted gateway by its new incarnation.
func TestGatewaysDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		const count = 5
		var nodes []*node
		for index := range count {
			nodes = append(nodes, startNode(t, network, index, 1))
		}
		requireAlive := func(when string, incarnations [count]int64) {
			t.Helper()
			for index, n := range nodes {
				var want []string
				for other, incarnation := range incarnations {
					if other != index && incarnation > 0 {
						want = append(want, fmt.Sprint("gateway-", other, " ", incarnation))
					}
				}
				if incarnations[index] == 0 {
					continue
				}
				if diff := cmp.Diff(want, n.aliveMembers()); diff != "" {
					t.Errorf("%s: gateways that gateway %d considers alive (-want +got):\n%s", when, index, diff)
				}
			}
		}
		time.Sleep(3 * time.Second)
		requireAlive("at the start", [count]int64{1, 1, 1, 1, 1})
		nodes[3].stop(network, 3)
		time.Sleep(3 * time.Second)
		requireAlive("after a stop", [count]int64{1, 1, 1, 0, 1})
		nodes[3] = startNode(t, network, 3, 2)
		time.Sleep(3 * time.Second)
		requireAlive("after a restart", [count]int64{1, 1, 1, 2, 1})
		for index, n := range slices.All(nodes) {
			n.stop(network, index)
		}
	})
}
