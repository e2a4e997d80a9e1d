package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// spoiltShare is the share of the answers of one worker that are spoilt: one in so many.
	spoiltShare = 50
	// unsignedTime is how long callers send requests.
	unsignedTime = 12 * time.Second
)

// signatureHeader is the proof of a worker's answer.
const signatureHeader = "X-Server-Signature"

// unsigned lets one of two workers end some answers before it has written the proof and the second
// half of the body, and looks for successes without proof at callers.
func unsigned(ctx context.Context, directory string, record *record, trouble bool) (result, error) {
	hosts := []int{11, 12}
	d, err := newDeployment(ctx, directory, record, hosts)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	d.store.Configure(plainState())
	var answered, spoilt atomic.Int64
	for index := range 2 {
		endpoint := &platformtest.Endpoint{
			ID: fmt.Sprintf("i-%d", plainHost+index), Incarnation: time.Now().UnixMilli(), Service: plainService, Address: d.address(plainHost+index, enginePort),
			Zone: zoneName, Slots: 6, ProcessingTime: plainWork, Store: d.store,
		}
		listener, err := net.Listen("tcp4", endpoint.Address)
		if err != nil {
			return result{}, err
		}
		d.serve(listener, func(c *fasthttp.RequestCtx) {
			endpoint.Handle(c)
			if index > 0 || !trouble || answered.Add(1)%spoiltShare != 0 {
				return
			}
			spoilt.Add(1)
			record.add("worker %s ends its answer to %s early", endpoint.ID, c.Request.Header.Peek(platformtest.HeaderAttemptID))
			c.Response.Header.Del(signatureHeader)
			body := c.Response.Body()
			c.SetBody(body[:len(body)/2])
		})
		endpoint.Register("ready")
	}
	if _, err := d.startGateways(hosts); err != nil {
		return result{}, err
	}
	var mu sync.Mutex
	successes, unproven := 0, 0
	callers := &callers{deployment: d, plain: true, observe: func(id string, response platformtest.Response) {
		mu.Lock()
		defer mu.Unlock()
		if response.Status/100 != 2 {
			return
		}
		successes++
		if response.Signature == "" {
			unproven++
			record.add("request %s got %d without proof: %q", id, response.Status, response.Body)
		}
	}}
	stopCallers := callers.start(hosts)
	time.Sleep(unsignedTime)
	stopCallers()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if successes == 0 || (trouble && spoilt.Load() == 0) {
		return result{}, errors.New("there were no successes or no spoilt answers")
	}
	return result{broken: unproven > 0, text: fmt.Sprintf("%d of %d successes came without a worker's proof; %d answers were spoilt", unproven, successes, spoilt.Load())}, nil
}
