package daemon

import (
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
)

// adminApp serves metrics, health, readiness and the status page.
func (b *Base) adminApp() *fiber.App {
	app := fiber.New()
	app.Get("/metrics", adaptor.HTTPHandler(b.Meter.Handler()))
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !b.Ready() {
			return c.Status(503).SendString("not ready")
		}
		return c.SendString("ready")
	})
	app.Get("/status", func(c fiber.Ctx) error {
		return c.JSON(statusPage{
			Instance:  b.Self.Name,
			UpTo:      b.State.Snapshot().UpTo(),
			Freshness: b.Relay.FreshnessStatus().String(),
			Reader:    b.Relay.ReadsStore(),
			Details:   b.Status(),
		})
	})
	return app
}

// statusPage is what the admin server shows about a process.
type statusPage struct {
	Instance  string `json:"instance"`
	UpTo      int64  `json:"upTo"`
	Freshness string `json:"freshness"`
	Reader    bool   `json:"reader"`
	Details   any    `json:"details"`
}
