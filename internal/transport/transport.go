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
	uplink    *bandwidth.Link
	downlink  *bandwidth.Link
	manifests manifestCache
}

// Open prepares the carrier.
func (t *Transport) Open() *Transport {
	t.peers = (&upstream.Client{Dial: t.Dial, FirstByteTimeout: t.Timeout, IdleTimeout: t.Timeout, Repeat: true}).Open()
	t.uplink, t.downlink = &bandwidth.Link{Rate: t.LinkRate}, &bandwidth.Link{Rate: t.LinkRate}
	return t
}

// Close closes the idle connections.
func (t *Transport) Close() { t.peers.Close() }

// Uplink returns the direction of the instance's link towards others.
func (t *Transport) Uplink() *bandwidth.Link { return t.uplink }

// Downlink returns the direction of the instance's link towards it.
func (t *Transport) Downlink() *bandwidth.Link { return t.downlink }

// RegisterRoutes serves other instances.
func (t *Transport) RegisterRoutes(router fiber.Router) {
	router.Get("/chunks/:digest", t.handleChunk)
	router.Get(manifestPath+":key", t.handleManifest)
}
