package gateway

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/eventstream"
	"github.com/mimosaward/mimosaward/platform"
)

// serveStream answers with the events of an endpoint as they arrive.
func (f *flight) serveStream() {
	got, refused := f.place(f.job(f.route.PickTarget(rand.Float64())))
	if refused != nil {
		defer f.end()
		f.refuse(refused)
		return
	}
	if got.answer.Status >= fasthttp.StatusMultipleChoices {
		f.passFailure(got)
		return
	}
	relay := &streamRelay{flight: f, attempt: got}
	relay.events = eventstream.Reader{Read: relay.readUpstream}
	event, err := relay.events.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		_ = relay.Close()
		f.refuse(unknown("streamBroken"))
		return
	}
	got.grant.RecordAnswer()
	relay.pending = event.Raw
	relay.err = err
	relay.firstAfter = time.Since(f.arrived)
	f.gateway.meter.deviations.Observe((relay.firstAfter - got.grant.Decision.QueueTime - got.grant.Decision.PredictedLatency).Seconds())
	platform.CopyResponseHeader(&f.http.Response.Header, got.exchange.Header())
	f.http.Response.SetBodyStream(relay, -1)
}

// passFailure passes an endpoint's own failure on.
func (f *flight) passFailure(got *attempt) {
	defer f.end()
	defer got.grant.Release()
	body, err := got.exchange.ReadAll(f.deadline)
	if err != nil {
		got.discard()
		f.refuse(unknown("answerBroken"))
		return
	}
	platform.CopyResponseHeader(&f.http.Response.Header, got.exchange.Header())
	f.http.Response.SetBody(body)
	got.finish()
}

// streamRelay is the body of a streamed answer: whole events, read as they
// arrive. An error but io.EOF makes the server break the answer off.
type streamRelay struct {
	flight  *flight
	attempt *attempt
	events  eventstream.Reader
	pending []byte
	err     error
	// firstAfter is the time to the first event.
	firstAfter time.Duration
}

func (s *streamRelay) readUpstream(buffer []byte) (int, error) {
	return s.attempt.exchange.Read(buffer, s.flight.deadline)
}

// Read implements io.Reader.
func (s *streamRelay) Read(buffer []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		event, err := s.events.Next()
		s.pending, s.err = event.Raw, err
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close implements io.Closer; the server calls it once.
func (s *streamRelay) Close() error {
	if errors.Is(s.err, io.EOF) {
		s.attempt.finish()
	} else {
		s.attempt.discard()
	}
	s.attempt.grant.Release()
	s.flight.logEnded(s.attempt.answer.Status, s.firstAfter, s.err)
	s.flight.end()
	return nil
}
