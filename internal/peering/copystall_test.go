package peering_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// copyService answers requests for the copy of one kind and leaves those for others open.
type copyService struct {
	answered string
	held     *informer.Informer
	stop     chan struct{}
}

// Copy implements the method that gateways call.
func (s *copyService) Copy(args *peering.CopyArgs, reply *peering.CopyReply) error {
	if args.Kind != s.answered {
		<-s.stop
		return nil
	}
	reply.Delta, reply.Held = s.held.Delta(args.Since)
	return nil
}

// Guards against changes of one kind that wait until a silent transfer of another kind has
// timed out.
func TestSlowCopyDelaysNoOtherKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		source, self := newMember(0, 1), newMember(2, 1)
		served := &copyService{answered: configurationKind, held: newPassiveInformer(configurationKind), stop: make(chan struct{})}
		served.held.AdoptSnapshot(informer.Snapshot{Revision: 1, Objects: map[string]informer.Object{}})
		server := controlrpc.NewServer()
		if err := server.Register("Gateway", served); err != nil {
			t.Fatal(err)
		}
		listener, err := network.ForProcess(source.Name).Listen(source.Control)
		if err != nil {
			t.Fatal(err)
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(func(ctx context.Context) { server.Run(ctx, listener) })

		table := &peering.Table{Self: self, Start: time.Now()}
		local := []*informer.Informer{newPassiveInformer(endpointKind), newPassiveInformer(configurationKind)}
		dial := func(_ context.Context, address string) (net.Conn, error) {
			return network.ForProcess(self.Name).Dial(address)
		}
		peers := &peering.Peering{
			Self: self, Table: table, BulkControl: &controlrpc.Client{Dial: dial}, Log: event.Discard(), Informers: local,
		}
		group.Every(100*time.Millisecond, func(context.Context) {
			table.RecordDigest(peering.Digest{Member: source, Copies: map[string]peering.CopyState{
				endpointKind: {Position: informer.Position{Revision: 1}}, configurationKind: {Position: served.held.Position()},
			}})
		})
		group.Go(peers.SyncCopies)
		const interval = 300 * time.Millisecond
		for revision := int64(2); revision < 12; revision++ {
			served.held.AdoptSnapshot(informer.Snapshot{Revision: revision, Objects: map[string]informer.Object{}})
			time.Sleep(interval)
			if got := local[1].Revision(); got != revision {
				t.Errorf("%s after revision %d of %s was announced, the local copy has revision %d", interval, revision, configurationKind, got)
			}
		}
		close(served.stop)
		group.Stop()
		peers.BulkControl.Close()
		network.CloseConnections(self.Name)
		group.Wait()
	})
}

// newPassiveInformer returns an informer whose copy changes only through those of others.
func newPassiveInformer(kind string) *informer.Informer {
	return &informer.Informer{Kind: kind, Reads: func() bool { return false }, OnChange: func(informer.Snapshot) {}}
}
