package agent

import (
	"bufio"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	chatPath = "/v1/chat/completions"
	// priorityHeader carries the urgency of a request to the engine, see RFC 9218.
	priorityHeader = "Priority"
)

// newApp returns the HTTP server for entries and other agents.
func (a *Agent) newApp() *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true})
	a.transport.RegisterRoutes(app)
	if a.servesModel() {
		app.Post(chatPath, a.handleChat)
	} else {
		app.All("/services/:pool/*", a.handleServiceCall)
	}
	return app
}

// handleChat forwards a chat completion request to the engine, checks the
// response stream and forwards it to the client.
func (a *Agent) handleChat(c fiber.Ctx) error {
	request, refusal := a.admit(c)
	if refusal != nil {
		return a.refuse(c, fiber.StatusServiceUnavailable, outcome.NotRun, *refusal)
	}
	response, err := a.sendChatRequest(c, request.priority)
	if err != nil {
		request.slot.RecordFailure()
		request.release()
		return a.refuseEndpointError(c, err)
	}
	if isClientError(response.Status()) {
		return a.forwardRejection(c, request, response)
	}
	checker := &streamcheck.Checker{RequestID: c.Get(outcome.RequestIDHeader), Set: request.set}
	// The first event is read before the status is sent, so that a request that
	// fails before its first event can be retried on another endpoint.
	first, err := readFirstEvent(response, checker)
	if err != nil {
		response.Close()
		request.slot.RecordFailure()
		request.release()
		a.logMismatch(err, checker.RequestID)
		return a.refuse(c, fiber.StatusBadGateway, outcome.Unknown, admission.Refusal{Reason: err.Error()})
	}
	request.slot.RecordFirstByte()
	a.setLoadHeader(c)
	c.Set(outcome.WeightSetHeader, request.set)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer request.release()
		defer response.Close()
		a.forwardStream(w, first, response, checker)
	})
}

// isClientError reports whether a status means that the request is invalid, so
// that any other engine would reject it too.
func isClientError(status int) bool {
	switch status {
	case fiber.StatusBadRequest, fiber.StatusNotFound, fiber.StatusRequestEntityTooLarge, fiber.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// forwardRejection forwards the engine's response to an invalid request. The
// slot records neither a first byte nor a failure, since such a response does
// not show how warm the engine is.
func (a *Agent) forwardRejection(c fiber.Ctx, request *admittedRequest, response *upstream.Response) error {
	defer request.release()
	defer response.Close()
	body, err := response.ReadBody()
	if err != nil {
		return a.refuseEndpointError(c, err)
	}
	return a.sendResponse(c, response, body)
}

func (a *Agent) sendChatRequest(c fiber.Ctx, priority int) (*upstream.Response, error) {
	url, err := a.endpointURL(chatPath)
	if err != nil {
		return nil, err
	}
	return a.endpoint.Do(upstream.Request{
		Method: fiber.MethodPost, URL: url, Body: c.Body(),
		Headers: map[string]string{
			fiber.HeaderContentType:  fiber.MIMEApplicationJSON,
			outcome.RequestIDHeader:  c.Get(outcome.RequestIDHeader),
			outcome.ResumeFromHeader: c.Get(outcome.ResumeFromHeader),
			priorityHeader:           formatUrgency(priority),
		},
	})
}

// formatUrgency converts a workspace's priority to an urgency of RFC 9218: 3 is
// the default, and smaller numbers are more urgent.
func formatUrgency(priority int) string {
	const defaultUrgency, step = 3, 2
	return fmt.Sprintf("u=%d", defaultUrgency+step*(ticket.MaxPriority/2-priority))
}

func (a *Agent) refuseEndpointError(c fiber.Ctx, err error) error {
	result := outcome.Unknown
	if errors.Is(err, upstream.ErrNotConnected) {
		result = outcome.NotRun
	}
	return a.refuse(c, fiber.StatusBadGateway, result, admission.Refusal{Reason: "the endpoint failed: " + err.Error(), RetryAfter: unavailableRetryAfter})
}

// readFirstEvent reads and checks the first event of the response.
func readFirstEvent(response *upstream.Response, checker *streamcheck.Checker) ([]byte, error) {
	if response.Status() != fiber.StatusOK {
		return nil, errors.Newf("endpoint answered with status %d", response.Status())
	}
	return checker.Next(response.ReadLine)
}

// forwardStream forwards events up to the end marker. If the engine's stream
// fails, it sends an error event, so that the client never sees a silent end.
func (a *Agent) forwardStream(w *bufio.Writer, event []byte, response *upstream.Response, checker *streamcheck.Checker) {
	for {
		a.transport.Uplink().RecordLiveTraffic(len(event))
		if _, err := w.Write(event); err != nil {
			return
		}
		if err := w.Flush(); err != nil || checker.Ended() {
			return
		}
		var err error
		event, err = checker.Next(response.ReadLine)
		if err != nil {
			a.logMismatch(err, checker.RequestID)
			_, _ = w.WriteString("event: error\ndata: {}\n\n")
			_ = w.Flush()
			return
		}
	}
}

func (a *Agent) logMismatch(err error, requestID string) {
	if errors.Is(err, streamcheck.ErrWrongRequest) || errors.Is(err, streamcheck.ErrWrongSet) {
		a.Log.Emit(event.ResponseMismatched, event.Fields{"requestId": requestID, "error": err.Error()})
	}
}
