package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// protectFromSignals returns a channel that receives SIGHUP and makes the process survive a
// closed log output. It must be called first and holds until the process exits: without it,
// SIGHUP, or a write to a log output whose reader has gone, would end the process with all its
// requests.
func protectFromSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// stopSignal returns a context that is canceled by SIGTERM or SIGINT. Further ones have no
// effect until the process exits: the receiver is never given up.
func stopSignal() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}
