package transport

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// silentConn is a connection to a peer that reads everything and never responds.
type silentConn struct{ net.Conn }

// Write implements net.Conn.
func (*silentConn) Write(data []byte) (int, error) { return len(data), nil }

// Guards against a fetch of a superseded set that goes on until silent instances have timed
// out, which delays the fetch of the set that replaces it.
func TestFetchEndsWithItsContext(t *testing.T) {
	fetches := map[string]func(ctx context.Context, transport *Transport, peer membership.Instance) error{
		"chunk": func(ctx context.Context, transport *Transport, peer membership.Instance) error {
			_, err := transport.FetchPeer(ctx, peer, p2p.Request{Chunk: weights.Sum([]byte("chunk"))})
			return err
		},
		"manifest": func(ctx context.Context, transport *Transport, peer membership.Instance) error {
			_, err := transport.FetchManifest(ctx, "draft@2", peer)
			return err
		},
	}
	for name, fetch := range fetches {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const timeout, canceledAfter = 1500 * time.Millisecond, 100 * time.Millisecond
				transport := (&Transport{Timeout: timeout, OnChunkReceived: func() {}, Dial: func(string) (net.Conn, error) {
					local, _ := net.Pipe()
					return &silentConn{Conn: local}, nil
				}}).Init()
				ctx, cancel := context.WithTimeout(t.Context(), canceledAfter)
				defer cancel()
				start := time.Now()
				err := fetch(ctx, transport, membership.Instance{Name: "peer", WorkAddress: "peer:81"})
				if elapsed := time.Since(start); elapsed != canceledAfter || !errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("the fetch ended after %s with %v, want after %s", elapsed, err, canceledAfter)
				}
				transport.Close()
				// The goroutines of the HTTP client end after its idle timeout.
				time.Sleep(time.Minute)
			})
		})
	}
}
