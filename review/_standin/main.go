// Command standin plays the cases of the review: it starts the project's programs on loopback
// addresses, with stand-ins for the platform, the workers and the requesters.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// background runs what lasts until the program ends.
var background = concurrency.NewGroup(context.Background())

// maxRunTime is how long a case may run.
const maxRunTime = 118 * time.Second

// cases plays each case and reports whether the rule was broken.
var cases = map[string]func(r *rig, trouble bool) (broken bool, err error){
	"recover":   runRecover,
	"cold":      runCold,
	"endless":   runEndless,
	"firstpart": runFirstPart,
	"together":  runTogether,
	"whole":     runWhole,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(r *rig, trouble bool) (bool, error), folder string) int {
	r, err := newRig(folder)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	background.Go(func(context.Context) {
		select {
		case <-interrupted:
		case <-time.After(maxRunTime):
		}
		r.say("the case was ended early")
		r.close()
		os.Exit(exitFailed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("trouble %t", trouble)
	broken, err := run(r, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.say("result: the rule was broken")
		return exitBroken
	default:
		r.say("result: the rule held")
		return exitHeld
	}
}
