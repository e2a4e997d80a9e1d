package operatorcli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/operatorcli"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

// testEnv runs the command line against fakes of the platform, with files in a
// temporary directory.
type testEnv struct {
	t         *testing.T
	directory string
	objects   *fakes.ObjectStore
	instances *fakes.InstanceStore
	// fullListReads counts the reads of the whole instance list.
	fullListReads int
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{t: t, directory: t.TempDir(), objects: fakes.NewObjectStore(), instances: &fakes.InstanceStore{}}
	for _, zone := range []string{"a", "b", "c"} {
		env.instances.Set(membership.Instance{Name: "entry-" + zone, AvailabilityZone: zone, Role: membership.EntryRole, Status: membership.Live})
	}
	env.write("operator.json", `{"operator": "aya", "platform": {"objectApi": "http://objects", "instanceList": "http://instances"}}`)
	env.write("out.json", `{"operator": "aya", "zones": [{"name": "b", "inService": false}]}`)
	return env
}

func (e *testEnv) write(name, text string) {
	e.t.Helper()
	if err := os.WriteFile(filepath.Join(e.directory, name), []byte(text), 0o600); err != nil {
		e.t.Fatal(err)
	}
}

// http dispatches each request to the fake that its host name selects.
func (e *testEnv) http(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	if strings.HasPrefix(url, "http://instances") {
		if strings.HasSuffix(url, "since=0") {
			e.fullListReads++
		}
		return e.instances.RoundTrip(ctx, method, url, body)
	}
	return e.objects.RoundTrip(ctx, method, url, body)
}

// run runs the command line and returns the exit status and the combined output.
// It adds the directory to arguments that name a JSON file and removes it from the
// output.
func (e *testEnv) run(args ...string) (int, string) {
	var out bytes.Buffer
	for index, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[index] = filepath.Join(e.directory, arg)
		}
	}
	program := &operatorcli.Program{Streams: cli.Streams{Out: &out, Err: &out}, HTTP: e.http}
	status := program.Main(args)
	return status, strings.ReplaceAll(out.String(), e.directory+"/", "")
}

// acknowledge records that each zone has acknowledged the tickets up to number 1.
func (e *testEnv) acknowledge(zones ...string) {
	e.t.Helper()
	tickets := &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: e.objects.RoundTrip}}
	for _, zone := range zones {
		if err := tickets.WriteAck(e.t.Context(), ticketstore.Ack{Zone: zone, Instance: "entry-" + zone, UpTo: 1}); err != nil {
			e.t.Fatal(err)
		}
	}
}

// Filing a ticket succeeds once two of the three zones have acknowledged it.
func TestTicketFileAcceptedByMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.acknowledge("a", "c")
		status, out := env.run("--settings", "operator.json", "ticket", "file", "out.json")
		want := "ticket 1 filed\nticket 1 accepted: in force in a, c\n"
		if diff := cmp.Diff([]any{cli.ExitSuccess, want}, []any{status, out}); diff != "" {
			t.Errorf("status and output (-want +got):\n%s", diff)
		}
	})
}

// Without a majority, filing fails after the wait. Polling for acknowledgements must
// not read the whole instance list again each time.
func TestTicketFileWithoutMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.acknowledge("a")
		status, out := env.run("--settings", "operator.json", "ticket", "file", "--wait", "2s", "out.json")
		if status != cli.ExitFailure || !strings.Contains(out, "a majority of the availability zones has not acknowledged it") {
			t.Errorf("status %d, output %q", status, out)
		}
		// The list of a large installation is megabytes long.
		if env.fullListReads != 1 {
			t.Errorf("the whole instance list was read %d times while waiting, want once", env.fullListReads)
		}
	})
}

// The error must name the operation ID, so that the operator can repeat the filing.
func TestTicketFileUnknownOutcomeReportsOperationID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.objects.SetFaults(fakes.ObjectFaults{Down: true})
		status, out := env.run("--settings", "operator.json", "ticket", "file", "--operation-id", "op-7", "out.json")
		if status != cli.ExitFailure || !strings.Contains(out, "--operation-id op-7") {
			t.Errorf("status %d, output %q", status, out)
		}
	})
}

func TestUsageErrors(t *testing.T) {
	env := newTestEnv(t)
	for _, args := range [][]string{{}, {"ticket"}, {"ticket", "file"}, {"ticket", "file", "out.json"}, {"--nonsense"}, {"settings", "check", "out.json"}} {
		if status, out := env.run(args...); status != cli.ExitUsage || out == "" {
			t.Errorf("%q: status %d and output %q, want status %d and a message", args, status, out, cli.ExitUsage)
		}
	}
	for _, args := range [][]string{{"--help"}, {"--version"}, {"completion"}, {"ticket", "check", "out.json"}} {
		if status, out := env.run(args...); status != cli.ExitSuccess || out == "" {
			t.Errorf("%q: status %d and output %q, want status 0 and text", args, status, out)
		}
	}
}

func TestSettingsCheckReportsEveryFile(t *testing.T) {
	env := newTestEnv(t)
	env.write("bad.json", `{"operator": "", "platform": {"objectApi": "ftp://x"}}`)
	status, out := env.run("settings", "check", "--kind", "operator", "operator.json", "bad.json")
	want := `operator.json: ok
bad.json:1: operator: must not be empty
bad.json:1: platform.objectApi: "ftp://x" is not an http URL
bad.json:1: platform.instanceList: required key is missing
`
	if status != cli.ExitFailure {
		t.Errorf("status %d, want %d", status, cli.ExitFailure)
	}
	lineSet := func(text string) map[string]bool {
		lines := map[string]bool{}
		for line := range strings.Lines(text) {
			lines[line] = true
		}
		return lines
	}
	if diff := cmp.Diff(lineSet(want), lineSet(out)); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
