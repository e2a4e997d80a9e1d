package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/platform"
)

// attempt is a request sent to one endpoint whose response header was received.
type attempt struct {
	request  *request
	grant    *dispatch.Grant
	exchange *connpool.Exchange
	response platform.ResponseHeader
	// stopAbort stops the function that aborts the connection when the request is canceled.
	// It returns false if that function was already started.
	stopAbort func() bool
}

// failure describes how an attempt failed.
type failure struct {
	// mayHaveRun is false if the endpoint certainly did not execute the request and
	// never will.
	mayHaveRun bool
	// sent is false if no byte of the request was sent.
	sent bool
	// misdirected is true if another endpoint responded at the address.
	misdirected bool
	err         error
}

// startAttempt sends the request to an endpoint and waits for the response header. If
// newConn is set, it does not reuse an idle connection.
func (r *request) startAttempt(grant *dispatch.Grant, options platform.ForwardOptions, newConn bool) (*attempt, *failure) {
	g := r.gateway
	requestHeader := &fasthttp.RequestHeader{}
	requestHeader.SetNoDefaultContentType(true)
	platform.CopyRequestHeader(requestHeader, &r.httpCtx.Request.Header, options)
	dialCtx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	conn, err := g.pool.Get(dialCtx, grant.Endpoint.Address, newConn)
	cancel()
	if err != nil {
		return nil, &failure{err: err}
	}
	pending := &pendingAttempt{
		conn: conn, grant: grant, model: r.clientRequest.Inference.Model, sentAt: time.Now(),
		replaceable: r.route.Kind == configuration.Stream && r.route.Retryable(),
	}
	r.pending.Store(pending)
	if ended := g.endedPermission(pending); ended != "" || grant.Expired(time.Now()) {
		r.settle()
		conn.Abort()
		return nil, &failure{err: errors.Wrapf(errWithdrawn, "before it was sent: %s", cmp.Or(ended, "the grant is too old"))}
	}
	ranBefore := r.mayHaveRun
	r.mayHaveRun = true
	stopAbort := context.AfterFunc(r.ctx, conn.Abort)
	exchange, err := g.pool.SendBlocks(conn, requestHeader, r.body.content(), r.deadline)
	if err != nil {
		stopAbort()
		sent := !errors.Is(err, connpool.ErrNotSent)
		if !r.settle() {
			err = errors.Wrap(errWithdrawn, "while it was sent")
		}
		r.mayHaveRun = ranBefore || sent
		return nil, &failure{sent: sent, mayHaveRun: sent, err: err}
	}
	a := &attempt{request: r, grant: grant, exchange: exchange, stopAbort: stopAbort}
	r.attempt = a
	responseHeader, err := exchange.ReadHeader(r.deadline, !r.httpCtx.IsHead(), func(h *fasthttp.ResponseHeader) bool {
		return r.ownsResponse(platform.ParseResponseHeader(h), conn)
	})
	if err != nil {
		a.discard()
		if pending.withdrawn() {
			err = errWithdrawn
		}
		return nil, &failure{sent: true, mayHaveRun: true, err: err}
	}
	a.response = platform.ParseResponseHeader(responseHeader)
	pending.arrived.Store(true)
	g.activity.recordHeader(grant.Endpoint.ID)
	r.recordAnnouncement(a)
	if load := a.response.Load; load != nil && a.response.Status != fasthttp.StatusMisdirectedRequest {
		g.dispatcher.RecordLoad(grant.Endpoint, *load)
	}
	if a.response.RetryAfter > 0 {
		g.dispatcher.RecordTurnedAway(grant.Endpoint, a.response.RetryAfter)
		g.Log.Emit(event.TurnedAway, event.Fields{
			"request": r.clientRequest.ID, "endpoint": grant.Endpoint.ID, "incarnation": grant.Endpoint.Incarnation, "retryAfterMs": a.response.RetryAfter.Milliseconds(),
			"grantedBy": grant.Decision.Lender,
		})
	}
	if a.response.NotExecuted {
		r.mayHaveRun = ranBefore
		a.discard()
		return nil, &failure{
			sent: true, misdirected: a.response.Status == fasthttp.StatusMisdirectedRequest,
			err: errors.Newf("endpoint refused the request with status %d", a.response.Status),
		}
	}
	return a, nil
}

// recordAnnouncement records what the endpoint said about itself. A response from another
// endpoint at the address says nothing about it.
func (r *request) recordAnnouncement(a *attempt) {
	endpoint, announcement := a.grant.Endpoint, a.response.Announcement
	if a.response.Status == fasthttp.StatusMisdirectedRequest {
		return
	}
	if decision := a.grant.Decision; decision.Lender != "" && decision.Announcement != announcement {
		r.gateway.reportAnnouncement(decision.Lender, peering.Announced{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Announcement: announcement})
	}
	if !r.gateway.dispatcher.RecordAnnouncement(endpoint, announcement) {
		return
	}
	r.gateway.Log.Emit(event.EndpointAnnounced, event.Fields{
		"request": r.clientRequest.ID, "endpoint": endpoint.ID, "incarnation": endpoint.Incarnation, "limited": announcement.Limited,
		"requestRate": announcement.RequestRate, "leaving": announcement.Leaving,
	})
}

// ambiguousWait is how long a response is waited for after a refusal that may belong to an
// earlier request. It is about the longest time to the first event that counts as on time.
const ambiguousWait = time.Second

// ownsResponse reports whether a response belongs to the request. A refusal may carry no
// request ID, but on a connection that carried an earlier request, it may belong to that one:
// then the response to this request is waited for, but not for long.
func (r *request) ownsResponse(response platform.ResponseHeader, conn *connpool.Conn) bool {
	if response.RequestID != "" || !response.NotExecuted || !conn.Reused() {
		return response.RequestID == r.clientRequest.ID || (response.RequestID == "" && response.NotExecuted)
	}
	if until := time.Now().Add(ambiguousWait); until.Before(r.deadline) {
		// If this fails, so does the read of the next response.
		_ = conn.SetReadDeadline(until)
	}
	return false
}

// dialTimeout is the timeout for connecting to an endpoint. The longest network path
// takes a few milliseconds. A lost SYN is retransmitted only after a second, so trying
// another endpoint is faster.
const dialTimeout = 300 * time.Millisecond

// finish ends an attempt whose response was read completely. The connection may be
// reused unless the client disconnected.
func (a *attempt) finish() {
	a.request.attempt = nil
	withdrawn := !a.request.settle()
	if !a.stopAbort() || withdrawn {
		a.exchange.Discard()
		return
	}
	a.exchange.Finish(!a.response.Close, a.response.IdleTimeout)
}

// discard ends an attempt whose response was not read completely and closes the
// connection.
func (a *attempt) discard() {
	a.request.attempt = nil
	a.request.settle()
	a.stopAbort()
	a.exchange.Discard()
}
