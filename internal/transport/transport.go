// Package transport transfers chunks and manifests between instances over HTTP, within
// the bandwidth limits of the instances' links. Package p2p and its callers select the
// instance for each request.
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

// Transport serves chunks and manifests to other instances and fetches them from other
// instances. Set the exported fields before calling Init.
type Transport struct {
	// Dial connects to another instance.
	Dial func(address string) (net.Conn, error)
	// Timeout is the timeout for the first byte of a response and for each further part.
	Timeout time.Duration
	// LinkRate is the capacity of the instance's link in each direction, in bytes per
	// second; 0 means that transfers of weights are not limited.
	LinkRate float64
	// Serve returns the response to a request from another instance.
	Serve func(ctx context.Context, request p2p.Request) (p2p.Response, error)
	// OnChunkReceived is called for each successful response of another instance, with a
	// chunk or a slice of it.
	OnChunkReceived func()

	client    *upstream.Client
	uplink    *bandwidth.Link
	downlink  *bandwidth.Link
	manifests manifestCache
}

// Init initializes the transport and returns it.
func (t *Transport) Init() *Transport {
	t.client = (&upstream.Client{Dial: t.Dial, FirstByteTimeout: t.Timeout, IdleTimeout: t.Timeout, RetryIfClosed: true}).Init()
	t.uplink, t.downlink = &bandwidth.Link{Rate: t.LinkRate}, &bandwidth.Link{Rate: t.LinkRate}
	return t
}

// Close closes the idle connections to other instances.
func (t *Transport) Close() { t.client.Close() }

// Uplink returns the outbound direction of the instance's link.
func (t *Transport) Uplink() *bandwidth.Link { return t.uplink }

// Downlink returns the inbound direction of the instance's link.
func (t *Transport) Downlink() *bandwidth.Link { return t.downlink }

// RegisterRoutes registers the handlers for requests from other instances.
func (t *Transport) RegisterRoutes(router fiber.Router) {
	router.Get("/chunks/:digest", t.handleChunk)
	router.Get(manifestPath+":key", t.handleManifest)
}
