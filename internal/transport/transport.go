// Package transport transfers chunks and manifests between instances over HTTP,
// within the bandwidth of the instances' links. Which instance to ask is decided
// in package p2p and its callers.
package transport

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// Transport serves chunks to other instances and asks them for theirs. Set the
// exported fields before Open.
type Transport struct {
	// Dial connects to another instance.
	Dial func(address string) (net.Conn, error)
	// Timeout bounds the wait for an answer, and for each further part of it.
	Timeout time.Duration
	// LinkRate is what the instance's link carries a second in each direction; 0
	// means that weights are not held back.
	LinkRate float64
	// Serve returns a chunk that another instance asks for.
	Serve func(ctx context.Context, request p2p.Request) (p2p.Response, error)
	// OnChunkReceived is called for each chunk from another instance.
	OnChunkReceived func()

	peers     *upstream.Client
	up        *bandwidth.Link
	down      *bandwidth.Link
	manifests manifestCache
}

// Open prepares the carrier.
func (r *Transport) Open() *Transport {
	r.peers = (&upstream.Client{Dial: r.Dial, FirstByteTimeout: r.Timeout, IdleTimeout: r.Timeout, Repeat: true}).Open()
	r.up, r.down = &bandwidth.Link{Rate: r.LinkRate}, &bandwidth.Link{Rate: r.LinkRate}
	return r
}

// Close closes the idle connections.
func (r *Transport) Close() { r.peers.Close() }

// Uplink returns the direction of the instance's link towards others.
func (r *Transport) Uplink() *bandwidth.Link { return r.up }

// Downlink returns the direction of the instance's link towards it.
func (r *Transport) Downlink() *bandwidth.Link { return r.down }

// RegisterRoutes serves other instances.
func (r *Transport) RegisterRoutes(router fiber.Router) {
	router.Get("/chunks/:digest", r.getChunk)
	router.Get(manifestPath+":key", r.getManifest)
}
