package agent

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// loadedSet returns the verified set of one chunk.
func loadedSet(t *testing.T) *weights.VerifiedSet {
	t.Helper()
	store := weights.NewStore(bytesize.KiB)
	encoded, digest, err := weights.BuildManifest("draft", "1", 8, []weights.Source{{Name: "base", Kind: weights.BasePart, Reader: strings.NewReader("weights")}},
		func(weights.Digest, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := weights.DecodeManifest(encoded, digest)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Pin(manifest); err != nil {
		t.Fatal(err)
	}
	if err := store.Put(weights.Sum([]byte("weights")), []byte("weights")); err != nil {
		t.Fatal(err)
	}
	verified, err := store.Verified(digest)
	if err != nil {
		t.Fatal(err)
	}
	return verified
}

// sendOrderTo returns how long an order to load takes whose engine responds after a time, and
// its error.
func sendOrderTo(t *testing.T, loadTime time.Duration) (elapsed time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		listener, listenErr := network.ForProcess("engine").Listen("engine:90")
		if listenErr != nil {
			t.Fatal(listenErr)
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(func(ctx context.Context) {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			if _, readErr := http.ReadRequest(bufio.NewReader(conn)); readErr != nil {
				t.Error(readErr)
			}
			if concurrency.Sleep(ctx, loadTime) {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		a := &Agent{Settings: settings.Agent{Endpoint: settings.Endpoint{URL: "http://engine:90", Kind: "model"}}}
		a.Network = network.ForProcess("agent")
		a.newEndpointClients()
		verified := loadedSet(t)
		start := time.Now()
		err = a.sendLoadOrder(t.Context(), rolloutTarget{set: verified.Manifest().Digest(), ticketNumber: 1}, verified)
		elapsed = time.Since(start)
		group.Stop()
		a.closeEndpointClients()
		network.CloseConnections("agent")
		network.CloseConnections("engine")
		if closeErr := listener.Close(); closeErr != nil {
			t.Error(closeErr)
		}
		group.Wait()
		// The goroutines of the HTTP client end after its idle timeout.
		time.Sleep(time.Minute)
	})
	return elapsed, err
}

// Guards against an engine that takes longer to load weights than to begin a response: its
// orders were given up and repeated for as long as it loaded.
func TestLoadOrderWaitsForLoad(t *testing.T) {
	if elapsed, err := sendOrderTo(t, 2*time.Minute); err != nil || elapsed.Round(time.Second) != 2*time.Minute {
		t.Errorf("the order to an engine that loads for 2m0s ended after %s with %v", elapsed, err)
	}
	if elapsed, err := sendOrderTo(t, 2*loadTimeout); err == nil || elapsed.Round(time.Second) != loadTimeout {
		t.Errorf("the order to an engine that does not respond ended after %s with %v, want an error after %s", elapsed, err, loadTimeout)
	}
}
