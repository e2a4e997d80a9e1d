package fakes

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Program is a fake that runs as a separate process.
type Program struct {
	Name        string
	Description string
	Commander   flags.Commander
}

// Programs returns all fakes that run as processes.
func Programs() []Program {
	return []Program{
		{"platform", "Object API, instance list and origin", &platformProgram{}},
		{"engine", "Model engine", &engineProgram{}},
		{"service", "HTTP service", &serviceProgram{}},
	}
}

// platformProgram runs the object API, the instance list and the origin.
type platformProgram struct {
	Objects    string        `long:"objects" required:"yes" description:"Address of the object API"`
	Instances  string        `long:"instances" required:"yes" description:"Address of the instance list"`
	Origin     string        `long:"origin" required:"yes" description:"Address of the origin"`
	Lag        time.Duration `long:"lag" default:"500ms" description:"Lag of the instance list"`
	OriginRate float64       `long:"origin-rate" default:"16777216" description:"Rate of the origin's link in bytes per second"`
}

// Execute implements flags.Commander.
func (p *platformProgram) Execute([]string) error {
	instances := &InstanceStore{Lag: p.Lag}
	origin := &OriginStore{Link: &Link{Rate: p.OriginRate}}
	return serveAll(map[string]*fiber.App{
		p.Objects:   HTTPApp(NewObjectStore().RoundTrip),
		p.Instances: HTTPApp(instances.RoundTrip),
		p.Origin:    HTTPApp(origin.RoundTrip),
	})
}

// engineProgram runs a model engine.
type engineProgram struct {
	Address           string        `long:"address" required:"yes" description:"Address to serve"`
	WarmLimit         int           `long:"warm-limit" default:"16"`
	ColdLimit         int           `long:"cold-limit" default:"2"`
	ColdStartDuration time.Duration `long:"cold-for" default:"1s"`
	FirstTokenLatency time.Duration `long:"first-token" default:"30ms"`
	TokenInterval     time.Duration `long:"token-interval" default:"5ms"`
	IgnoresFencing    bool          `long:"ignores-fencing"`
}

// Execute implements flags.Commander.
func (p *engineProgram) Execute([]string) error {
	engine := &Engine{
		WarmLimit: p.WarmLimit, ColdLimit: p.ColdLimit, ColdStartDuration: p.ColdStartDuration,
		FirstTokenLatency: p.FirstTokenLatency, TokenInterval: p.TokenInterval, IgnoresFencing: p.IgnoresFencing,
	}
	return serveAll(map[string]*fiber.App{p.Address: engine.App()})
}

// serviceProgram runs an HTTP service.
type serviceProgram struct {
	Address string        `long:"address" required:"yes" description:"Address to serve"`
	Latency time.Duration `long:"latency" default:"10ms"`
}

// Execute implements flags.Commander.
func (p *serviceProgram) Execute([]string) error {
	service := &Service{Latency: p.Latency}
	return serveAll(map[string]*fiber.App{p.Address: service.App()})
}

// serveAll serves each application on its address until SIGTERM or SIGINT.
func serveAll(apps map[string]*fiber.App) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	group := concurrency.NewGroup(ctx)
	for address, app := range apps {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &fasthttp.Server{Handler: app.Handler(), MaxRequestBodySize: maxWeightBytes, CloseOnShutdown: true}
		group.Go(func(context.Context) { _ = server.Serve(listener) })
		group.Go(func(ctx context.Context) {
			<-ctx.Done()
			shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = server.ShutdownWithContext(shutdownCtx)
		})
	}
	group.Wait()
	return nil
}
