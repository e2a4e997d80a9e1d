// Command _standin-2 plays the scripts of the second review: it serves stand-ins for the users'
// platform, starts the project's programs and judges what callers and engines see.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// result is what a case has found.
type result struct {
	broken bool
	text   string
}

// cases holds the scripts by name. trouble is false if a script must not cause the disruption.
var cases = map[string]func(ctx context.Context, directory string, record *record, trouble bool) (result, error){
	"cold-worker":    coldWorker,
	"far-version":    farVersionNamed,
	"forgotten-part": forgottenPart,
	"staged-rot":     stagedRot,
	"unsigned":       unsigned,
}

func main() {
	os.Exit(run())
}

// run plays the case of the first argument, with its record in the folder of the second one.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _standin-2 CASE FOLDER")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(directory)
		}
	}()
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	found, err := cases[os.Args[1]](ctx, directory, record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case found.broken:
		record.add("broken: %s", found.text)
		fmt.Println("broken:", found.text)
		return exitBroken
	default:
		record.add("held: %s", found.text)
		fmt.Println("held:", found.text)
		return exitHeld
	}
}
