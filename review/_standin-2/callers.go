package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// requestsPerSecond is the load at each gateway.
	requestsPerSecond = 14
	// unreadTime is the time after which callers give up a request.
	unreadTime = time.Second
)

// callers send requests to the gateways.
type callers struct {
	deployment *deployment
	// plain is true if they send plain requests instead of model requests.
	plain bool
	// observe is called with each answer, if it is not nil.
	observe func(id string, response platformtest.Response)
	sent    atomic.Int64
	served  atomic.Int64
}

// start sends requests at a steady rate to each gateway until the returned function is called.
func (c *callers) start(hosts []int) (stop func()) {
	ctx, cancel := context.WithCancel(c.deployment.ctx)
	for index, host := range hosts {
		c.deployment.tasks.Go(func(context.Context) {
			interval := time.Second / requestsPerSecond
			time.Sleep(interval * time.Duration(index) / time.Duration(len(hosts)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for number := 0; ; number++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				c.deployment.tasks.Go(func(context.Context) { c.request(host, fmt.Sprintf("%x%06x", host, number)) })
			}
		})
	}
	return cancel
}

// request sends one request on a new connection. If nothing of an answer has arrived after
// unreadTime, the caller gives the attempt up.
func (c *callers) request(host int, id string) {
	c.sent.Add(1)
	c.deployment.record.add("request %s sent to gateway-%d", id, host)
	request := platformtest.Request{
		Gateway: c.deployment.address(host, callersPort), AttemptID: id, Method: "POST", Host: callersHost, Path: "/explain/" + id, Body: "{}",
		Timeout: 6 * time.Second, Model: modelName, PromptTokens: 100, OutputTokens: 5, DisconnectAfter: unreadTime,
	}
	if c.plain {
		request = platformtest.Request{
			Gateway: request.Gateway, AttemptID: id, Method: "GET", Host: callersHost, Path: "/balance/" + id, Timeout: 1500 * time.Millisecond,
		}
	}
	response, err := platformtest.Do(func(address string) (net.Conn, error) { return net.DialTimeout("tcp4", address, time.Second) }, request)
	if err == nil && c.observe != nil {
		c.observe(id, response)
	}
	switch {
	case err != nil:
		c.deployment.record.add("request %s ended without an answer", id)
	case response.Status == 200 && response.Complete:
		c.served.Add(1)
		fallthrough
	default:
		c.deployment.record.add("request %s got %d, complete: %t", id, response.Status, response.Complete)
	}
}
