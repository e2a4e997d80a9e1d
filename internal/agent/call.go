package agent

import (
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// call gives a request to the plain service and passes the checked answer on.
func (a *Agent) call(c fiber.Ctx) error {
	request, refusal := a.admit(c)
	if refusal != nil {
		return a.refuse(c, fiber.StatusServiceUnavailable, outcome.NotRun, *refusal)
	}
	defer request.end()
	address, err := a.endpointURL(c.Params("*"))
	if err != nil {
		return a.refuse(c, fiber.StatusBadRequest, outcome.NotRun, admission.Refusal{Reason: err.Error()})
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		address += "?" + query
	}
	requestID := c.Get(outcome.RequestIDHeader)
	response, err := a.endpoint.Do(upstream.Request{
		Method: c.Method(), URL: address, Body: c.Body(),
		Headers: map[string]string{
			fiber.HeaderContentType: c.Get(fiber.HeaderContentType),
			outcome.RequestIDHeader: requestID,
			outcome.KeyHeader:       c.Get(outcome.KeyHeader),
		},
		ForwardedHeaders: upstream.EndToEnd(c.Request().Header.All()),
	})
	if err != nil {
		request.slot.RecordFailure()
		return a.refuseFailed(c, err)
	}
	defer response.Close()
	request.slot.RecordFirstByte()
	body, err := response.ReadBody()
	if err != nil {
		return a.refuseFailed(c, err)
	}
	if response.Header(outcome.RequestIDHeader) != requestID {
		a.noteMismatch(streamcheck.ErrCrossed, requestID)
		return a.refuse(c, fiber.StatusBadGateway, outcome.Unknown, admission.Refusal{Reason: streamcheck.ErrCrossed.Error()})
	}
	return a.sendAnswer(c, response, body)
}

// sendAnswer passes a whole answer of the endpoint on.
func (a *Agent) sendAnswer(c fiber.Ctx, response *upstream.Response, body []byte) error {
	a.setLoad(c)
	c.Set(outcome.Header, string(outcome.Done))
	c.Set(fiber.HeaderContentType, response.Header(fiber.HeaderContentType))
	for _, header := range response.EndToEnd() {
		c.Response().Header.Add(header.Name, header.Value)
	}
	a.carrier.Uplink().RecordLiveTraffic(len(body))
	return c.Status(response.Status()).Send(body)
}
