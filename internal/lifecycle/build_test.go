package lifecycle

import (
	"os"
	"os/exec"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
)

// binaries is the directory of the built programs.
var binaries = sync.OnceValues(buildBinaries)

// buildBinaries builds the programs, with the race detector if the test has it.
func buildBinaries() (string, error) {
	directory, err := os.MkdirTemp("", "lifecycle-bin-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", directory + "/"}
	if raceEnabled() {
		args = append(args, "-race")
	}
	const commands = "github.com/mimosaward/mimosaward/cmd/mimosaward-"
	output, err := exec.Command("go", append(args, commands+"gateway", commands+"loader")...).CombinedOutput()
	return directory, errors.Wrapf(err, "build: %s", output)
}

func raceEnabled() bool {
	info, _ := debug.ReadBuildInfo()
	for _, setting := range info.Settings {
		if setting.Key == "-race" {
			return setting.Value == "true"
		}
	}
	return false
}

func TestMain(m *testing.M) {
	status := m.Run()
	if directory, err := binaries(); err == nil {
		_ = os.RemoveAll(directory)
	}
	os.Exit(status)
}
