package gateway

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/eventstream"
	"github.com/mimosaward/mimosaward/internal/membudget"
	"github.com/mimosaward/mimosaward/platform"
)

// serveStream relays the events of an endpoint to the client as they arrive.
func (r *request) serveStream() {
	a, refused := r.sendWithRetries(r.newJob(r.route.PickTarget(rand.Float64())))
	if refused != nil {
		defer r.end()
		r.refuse(refused)
		return
	}
	r.body.drop()
	if a.response.Status >= fasthttp.StatusMultipleChoices {
		r.forwardError(a)
		return
	}
	// The parser adds the trailer to the header at the end of the body.
	platform.CopyResponseHeader(&r.httpCtx.Response.Header, a.exchange.Header())
	relay := &streamRelay{request: r, attempt: a, memory: a.exchange.Memory()}
	relay.evict = relay.abort
	relay.events = eventstream.Reader{Read: relay.readUpstream, Reserve: a.exchange.Reserve}
	event, err := relay.events.Next()
	if !r.settle() {
		err = errWithdrawn
	}
	if err != nil && (!errors.Is(err, io.EOF) || !a.exchange.Framed()) {
		r.suspectCrash(a.grant.Endpoint, phaseFirstEvent, err)
		defer r.end()
		a.discard()
		a.grant.Release()
		r.refuse(possiblyExecuted("streamBroken"))
		return
	}
	a.grant.Record(dispatch.Responded)
	relay.firstEventAt = time.Now()
	relay.accept(event, err)
	relay.timeToFirst = time.Since(r.arrived)
	r.gateway.metrics.predictionErrors.Observe((relay.timeToFirst - a.grant.Decision.QueueTime - a.grant.Decision.PredictedLatency).Seconds())
	r.httpCtx.Response.SetBodyStream(relay, -1)
}

// forwardError forwards an endpoint's response with a status of 300 or above, which is not
// a stream of events.
func (r *request) forwardError(a *attempt) {
	defer r.end()
	defer a.grant.Release()
	body, err := r.readBuffered(a)
	if err != nil {
		a.discard()
		r.refuse(possiblyExecuted("answerBroken"))
		return
	}
	if a.falsePromise() {
		a.finish()
		r.refuse(possiblyExecuted(reasonEndpointError))
		return
	}
	if err := r.sendBody(a, body); err != nil {
		a.discard()
		r.refuse(possiblyExecuted("answerBroken"))
		return
	}
	r.logEnded(a.response.Status, time.Since(r.arrived), nil)
	a.finish()
}

// streamRelay is the body of a streamed response. It returns only complete events, as they
// arrive. Any error other than io.EOF makes the server abort the response.
type streamRelay struct {
	request *request
	attempt *attempt
	events  eventstream.Reader
	// memory is what the events that were not sent take.
	memory *membudget.User
	// evict ends the stream when its memory is given up.
	evict   func()
	pending []byte
	err     error
	// timeToFirst is the time from the arrival of the request to the first event.
	timeToFirst time.Duration
	// firstEventAt is when the first event arrived.
	firstEventAt time.Time
	// partsAnswered is true once the engine is known to have survived the prompt parts.
	partsAnswered bool
}

// accept takes the next event or the error that ended the stream.
func (s *streamRelay) accept(event eventstream.Event, err error) {
	s.pending, s.err = event.Raw, err
	early := time.Since(s.firstEventAt) <= earlyPhase
	broken := err != nil && (!errors.Is(err, io.EOF) || !s.attempt.exchange.Framed())
	switch {
	case broken && early:
		s.request.suspectCrash(s.attempt.grant.Endpoint, phaseEarly, err)
	case broken && !errors.Is(err, io.EOF):
		// An unframed stream may be complete when its connection ends.
		s.request.suspectCrash(s.attempt.grant.Endpoint, phaseLate, err)
	case !broken && !s.partsAnswered && (err != nil || !early):
		s.partsAnswered = true
		s.request.recordPartsAnswered()
	}
	if err != nil && !broken {
		s.request.recordAnswered()
	}
}

func (s *streamRelay) readUpstream(buffer []byte) (n int, err error) {
	if !s.firstEventAt.IsZero() {
		activity, endpoint := &s.request.gateway.activity, s.attempt.grant.Endpoint.ID
		activity.beginRead(endpoint)
		defer func() { activity.endRead(endpoint, n) }()
	}
	return s.attempt.exchange.Read(buffer, s.request.deadline)
}

// Read implements io.Reader.
func (s *streamRelay) Read(buffer []byte) (n int, err error) {
	defer func() {
		if value := recover(); value != nil {
			s.request.gateway.recordPanic(s.request.clientRequest.ID, value)
			s.pending, s.err = nil, errPanicked
			n, err = 0, errPanicked
		}
	}()
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		s.memory.AwaitEndpoint()
		s.accept(s.events.Next())
	}
	if err := s.memory.AwaitCaller(s.evict); err != nil {
		s.pending, s.err = nil, err
		return 0, err
	}
	n = copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// abort ends the stream because its memory is given up.
func (s *streamRelay) abort() {
	s.attempt.exchange.Abort()
	s.request.caller.Abort()
}

// Close implements io.Closer; the server calls it once.
func (s *streamRelay) Close() error {
	defer func() {
		if value := recover(); value != nil {
			s.request.gateway.recordPanic(s.request.clientRequest.ID, value)
		}
	}()
	defer s.request.end()
	defer s.attempt.grant.Release()
	if errors.Is(s.err, io.EOF) {
		s.attempt.finish()
	} else {
		s.attempt.discard()
	}
	s.request.logEnded(s.attempt.response.Status, s.timeToFirst, s.err)
	return nil
}
