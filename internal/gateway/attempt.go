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
	request  *request
	grant    *dispatch.Grant
	exchange *connpool.Exchange
	response platform.Answer
	// stopAbort undoes that the caller's leaving ends the exchange.
	stopAbort func() bool
}

// failure says how an attempt failed.
type failure struct {
	// mayHaveRun is false if the request certainly did not run and never will.
	mayHaveRun bool
	// sent is false if no byte of it left.
	sent bool
	// misdirected is true if another endpoint answered at the address.
	misdirected bool
	err         error
}

// startAttempt sends the request to an endpoint and waits for the header of the answer.
func (r *request) startAttempt(grant *dispatch.Grant, forwarding platform.Forwarding, newConn bool) (*attempt, *failure) {
	g := r.gateway
	dialCtx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	conn, err := g.pool.Get(dialCtx, grant.Endpoint.Address, newConn)
	cancel()
	if err != nil {
		return nil, &failure{err: err}
	}
	requestHeader := &fasthttp.RequestHeader{}
	requestHeader.SetNoDefaultContentType(true)
	platform.WriteForwarded(requestHeader, &r.httpCtx.Request.Header, forwarding)
	exchange, err := g.pool.Send(conn, requestHeader, r.httpCtx.Request.Body(), r.deadline)
	if err != nil {
		sent := !errors.Is(err, connpool.ErrNotSent)
		return nil, &failure{sent: sent, mayHaveRun: sent, err: err}
	}
	a := &attempt{request: r, grant: grant, exchange: exchange}
	a.stopAbort = context.AfterFunc(r.ctx, exchange.Abort)
	responseHeader, err := exchange.ReadHeader(r.deadline, !r.httpCtx.IsHead(), func(h *fasthttp.ResponseHeader) bool {
		return r.ownsResponse(platform.ReadAnswer(h))
	})
	if err != nil {
		a.discard()
		return nil, &failure{sent: true, mayHaveRun: true, err: err}
	}
	a.response = platform.ReadAnswer(responseHeader)
	if a.response.NotRun {
		a.discard()
		return nil, &failure{
			sent: true, misdirected: a.response.Status == fasthttp.StatusMisdirectedRequest,
			err: errors.Newf("refused with status %d", a.response.Status),
		}
	}
	return a, nil
}

// ownsResponse reports whether an answer belongs to the request. Refusals may name no
// request.
func (r *request) ownsResponse(response platform.Answer) bool {
	return response.CallID == r.clientRequest.ID || (response.CallID == "" && response.NotRun)
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
	a.exchange.Finish(!a.response.Close, a.response.Idle)
}

// discard ends an attempt whose answer was not read to its end.
func (a *attempt) discard() {
	a.stopAbort()
	a.exchange.Discard()
}
