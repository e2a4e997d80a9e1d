package lifecycle

import (
	"os"
	"os/exec"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
)

var (
	// binaries returns the directory of the programs, which it builds at the first call.
	binaries = sync.OnceValues(buildBinaries)
	// binariesDirectory is set before the tests run.
	binariesDirectory string
)

// buildBinaries builds the programs, with the race detector if the test has it.
func buildBinaries() (string, error) {
	args := []string{"build", "-o", binariesDirectory}
	if raceEnabled() {
		args = append(args, "-race")
	}
	const commands = "github.com/mimosaward/mimosaward/cmd/mimosaward-"
	output, err := exec.Command("go", append(args, commands+"gateway", commands+"loader")...).CombinedOutput()
	return binariesDirectory, errors.Wrapf(err, "build: %s", output)
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
	parent, err := os.MkdirTemp("", "lifecycle-bin-")
	must(err)
	binariesDirectory = parent + "/"
	status := m.Run()
	_ = os.RemoveAll(parent)
	os.Exit(status)
}
