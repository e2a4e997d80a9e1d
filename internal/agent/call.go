package agent

import (
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// handleServiceCall forwards a request to an endpoint of a service pool, checks
// the response and sends it to the client.
func (a *Agent) handleServiceCall(c fiber.Ctx) error {
	request, refusal := a.admit(c)
	if refusal != nil {
		return a.refuse(c, fiber.StatusServiceUnavailable, outcome.NotRun, *refusal)
	}
	defer request.release()
	url, err := a.endpointURL(c.Params("*"))
	if err != nil {
		return a.refuse(c, fiber.StatusBadRequest, outcome.NotRun, admission.Refusal{Reason: err.Error()})
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		url += "?" + query
	}
	requestID := c.Get(outcome.RequestIDHeader)
	response, err := a.endpoint.Do(upstream.Request{
		Method: c.Method(), URL: url, Body: c.Body(),
		Headers: map[string]string{
			fiber.HeaderContentType:      c.Get(fiber.HeaderContentType),
			outcome.RequestIDHeader:      requestID,
			outcome.IdempotencyKeyHeader: c.Get(outcome.IdempotencyKeyHeader),
		},
		ForwardedHeaders: upstream.EndToEnd(c.Request().Header.All()),
	})
	if err != nil {
		request.slot.RecordFailure()
		return a.refuseEndpointError(c, err)
	}
	defer response.Close()
	request.slot.RecordFirstByte()
	body, err := response.ReadBody()
	if err != nil {
		return a.refuseEndpointError(c, err)
	}
	if response.Header(outcome.RequestIDHeader) != requestID {
		a.logMismatch(streamcheck.ErrWrongRequest, requestID)
		return a.refuse(c, fiber.StatusBadGateway, outcome.Unknown, admission.Refusal{Reason: streamcheck.ErrWrongRequest.Error()})
	}
	return a.sendResponse(c, response, body)
}

// sendResponse forwards a complete response of the endpoint to the client.
func (a *Agent) sendResponse(c fiber.Ctx, response *upstream.Response, body []byte) error {
	a.setLoadHeader(c)
	c.Set(outcome.Header, string(outcome.Done))
	c.Set(fiber.HeaderContentType, response.Header(fiber.HeaderContentType))
	for _, header := range response.EndToEnd() {
		c.Response().Header.Add(header.Name, header.Value)
	}
	a.transport.Uplink().RecordLiveTraffic(len(body))
	return c.Status(response.Status()).Send(body)
}
