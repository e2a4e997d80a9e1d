package fakes

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// HTTPApp returns an HTTP application that passes requests to an in-process
// round-trip function. A lost response closes the connection.
func HTTPApp(roundTrip platformclient.RoundTripFunc) *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: 2 * platformclient.MaxValueBytes})
	app.All("/*", func(c fiber.Ctx) error {
		address := "http://standin" + string(append([]byte(nil), c.OriginalURL()...))
		body := append([]byte(nil), c.Body()...)
		status, response, err := roundTrip(context.Background(), c.Method(), address, body)
		if errors.Is(err, errResponseLost) {
			return c.RequestCtx().Conn().Close()
		}
		if err != nil {
			return c.Status(500).SendString(err.Error())
		}
		return c.Status(status).Send(response)
	})
	return app
}
