package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// attempt is a request at one endpoint. Its answer has begun.
type attempt struct {
	flight   *flight
	grant    *dispatch.Grant
	exchange *connpool.Exchange
	answer   platform.ResponseHeader
	// stopAbort undoes that the caller's leaving ends the exchange.
	stopAbort func() bool
}

// failure says how an attempt failed.
type failure struct {
	// ran is false if the request certainly did not run and never will.
	ran bool
	// sent is false if no byte of it left.
	sent bool
	// misdirected is true if another endpoint answered at the address.
	misdirected bool
	err         error
}

// start sends the request to an endpoint and waits for the header of the answer.
func (f *flight) start(grant *dispatch.Grant, forwarding platform.ForwardOptions, fresh bool) (*attempt, *failure) {
	g := f.gateway
	dialCtx, cancel := context.WithTimeout(f.ctx, dialTimeout)
	conn, err := g.pool.Get(dialCtx, grant.Endpoint.Address, fresh)
	cancel()
	if err != nil {
		return nil, &failure{err: err}
	}
	header := &fasthttp.RequestHeader{}
	header.SetNoDefaultContentType(true)
	platform.CopyRequestHeader(header, &f.http.Request.Header, forwarding)
	exchange, err := g.pool.Send(conn, header, f.http.Request.Body(), f.deadline)
	if err != nil {
		sent := !errors.Is(err, connpool.ErrNotSent)
		return nil, &failure{sent: sent, ran: sent, err: err}
	}
	a := &attempt{flight: f, grant: grant, exchange: exchange}
	a.stopAbort = context.AfterFunc(f.ctx, exchange.Abort)
	answered, err := exchange.ReadHeader(f.deadline, !f.http.IsHead(), func(h *fasthttp.ResponseHeader) bool {
		return f.owns(platform.ParseResponseHeader(h))
	})
	if err != nil {
		a.discard()
		return nil, &failure{sent: true, ran: true, err: err}
	}
	a.answer = platform.ParseResponseHeader(answered)
	if a.answer.NotExecuted {
		a.discard()
		return nil, &failure{
			sent: true, misdirected: a.answer.Status == fasthttp.StatusMisdirectedRequest,
			err: errors.Newf("refused with status %d", a.answer.Status),
		}
	}
	return a, nil
}

// owns reports whether an answer belongs to the request. Refusals may name no
// request.
func (f *flight) owns(answer platform.ResponseHeader) bool {
	return answer.RequestID == f.call.ID || (answer.RequestID == "" && answer.NotExecuted)
}

// dialTimeout is how long opening a connection to an endpoint may take. The
// longest way takes some milliseconds; a lost opening packet is repeated only
// after a second, and another endpoint is quicker.
const dialTimeout = 300 * time.Millisecond

// finish ends an attempt whose answer was read to its end.
func (a *attempt) finish() {
	if !a.stopAbort() {
		a.exchange.Discard()
		return
	}
	a.exchange.Finish(!a.answer.Close, a.answer.IdleTimeout)
}

// discard ends an attempt whose answer was not read to its end.
func (a *attempt) discard() {
	a.stopAbort()
	a.exchange.Discard()
}
