package daemon

import (
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
)

// adminApp returns the HTTP server for metrics, health, readiness and the status
// page.
func (b *Base) adminApp() *fiber.App {
	app := fiber.New()
	app.Get("/metrics", adaptor.HTTPHandler(b.Metrics.Handler()))
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !b.Ready() {
			return c.Status(503).SendString("not ready")
		}
		return c.SendString("ready")
	})
	app.Get("/status", func(c fiber.Ctx) error {
		return c.JSON(processStatus{
			Instance:  b.Self.Name,
			UpTo:      b.State.Snapshot().UpTo(),
			Freshness: b.Relay.FreshnessStatus().String(),
			Reader:    b.Relay.IsActiveReader(),
			Details:   b.Status(),
		})
	})
	return app
}

// processStatus is the content of the admin server's status page.
type processStatus struct {
	Instance  string `json:"instance"`
	UpTo      int64  `json:"upTo"`
	Freshness string `json:"freshness"`
	Reader    bool   `json:"reader"`
	Details   any    `json:"details"`
}
