package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/platform"
)

// Hosted is a program that the users' platform starts: its settings file stands in
// an environment variable.
type Hosted struct {
	// Run serves until ctx ends, then drains.
	Run func(ctx context.Context, where deployment.Deployment, log *event.Logger) error
}

// Main runs the program until SIGTERM or SIGINT and returns the exit status.
func (h *Hosted) Main(streams Streams) int {
	where, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return Fail(streams, err)
	}
	direct, err := event.NewLogger(streams.Out, "json", "info", where.Instance.Name)
	if err != nil {
		return Fail(streams, err)
	}
	log := direct.Queued()
	writing := duty.NewGroup(context.Background())
	writing.Go(log.Run)
	defer writing.Wait()
	defer writing.Stop()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	if err := h.Run(ctx, where, log); err != nil {
		return Fail(streams, err)
	}
	return ExitDone
}
