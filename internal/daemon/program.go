package daemon

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
)

// Program holds the parts of an entry or an agent that are not shared.
type Program struct {
	AdminAddress string
	// Address is the address on which App serves requests.
	Address string
	App     *fiber.App
	// Tasks run until the program has drained.
	Tasks []func(ctx context.Context)
	// Drain finishes the requests in flight.
	Drain func(ctx context.Context)
}

// RunProgram serves until stop is done, then drains and returns. If a server
// fails, it returns the error without draining.
func (b *Base) RunProgram(stop context.Context, program Program) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	group := concurrency.NewGroup(ctx)
	serverErrors := make(chan error, 2)
	serve := func(serveFunc func(ctx context.Context) error) {
		group.Go(func(ctx context.Context) {
			if err := serveFunc(ctx); err != nil {
				b.Log.Emit(event.ServerFailed, event.Fields{"error": err.Error()})
				serverErrors <- err
			}
		})
	}
	serve(func(ctx context.Context) error { return b.Run(ctx, program.AdminAddress) })
	serve(func(ctx context.Context) error { return b.ServeHTTP(ctx, program.Address, program.App) })
	for _, task := range program.Tasks {
		group.Go(task)
	}
	b.Log.Emit(event.ProcessStarted, event.Fields{"address": program.Address})
	var err error
	select {
	case <-stop.Done():
		program.Drain(ctx)
	case err = <-serverErrors:
	}
	cancel()
	group.Wait()
	return err
}
