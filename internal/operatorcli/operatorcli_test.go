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

// desk is an operator's place in a test.
type desk struct {
	t         *testing.T
	directory string
	objects   *fakes.ObjectStore
	instances *fakes.InstanceStore
	// wholeLists counts the reads of the whole instance list.
	wholeLists int
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	d := &desk{t: t, directory: t.TempDir(), objects: fakes.NewObjectStore(), instances: &fakes.InstanceStore{}}
	for _, zone := range []string{"a", "b", "c"} {
		d.instances.Set(membership.Instance{Name: "entry-" + zone, AvailabilityZone: zone, Role: membership.EntryRole, Status: membership.Live})
	}
	d.write("operator.json", `{"operator": "aya", "platform": {"objectApi": "http://objects", "instanceList": "http://instances"}}`)
	d.write("out.json", `{"operator": "aya", "zones": [{"name": "b", "inService": false}]}`)
	return d
}

func (d *desk) write(name, text string) {
	d.t.Helper()
	if err := os.WriteFile(filepath.Join(d.directory, name), []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// http reaches the fakes by their host names.
func (d *desk) http(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	if strings.HasPrefix(url, "http://instances") {
		if strings.HasSuffix(url, "since=0") {
			d.wholeLists++
		}
		return d.instances.HTTP(ctx, method, url, body)
	}
	return d.objects.HTTP(ctx, method, url, body)
}

// run returns the exit status and both outputs, without the directory.
func (d *desk) run(args ...string) (int, string) {
	var out bytes.Buffer
	for index, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			args[index] = filepath.Join(d.directory, arg)
		}
	}
	o := &operatorcli.Operator{Streams: cli.Streams{Out: &out, Err: &out}, HTTP: d.http}
	status := o.Main(args)
	return status, strings.ReplaceAll(out.String(), d.directory+"/", "")
}

func (d *desk) acknowledge(zones ...string) {
	d.t.Helper()
	acks := &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: d.objects.HTTP}}
	for _, zone := range zones {
		if err := acks.WriteAck(d.t.Context(), ticketstore.Ack{Zone: zone, Instance: "entry-" + zone, UpTo: 1}); err != nil {
			d.t.Fatal(err)
		}
	}
}

func TestFileIsAcceptedByAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t)
		d.acknowledge("a", "c")
		status, out := d.run("--settings", "operator.json", "ticket", "file", "out.json")
		want := "ticket 1 filed\nticket 1 accepted: in force in a, c\n"
		if diff := cmp.Diff([]any{cli.ExitDone, want}, []any{status, out}); diff != "" {
			t.Errorf("status and output (-want +got):\n%s", diff)
		}
	})
}

func TestFileTellsThatAMajorityIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t)
		d.acknowledge("a")
		status, out := d.run("--settings", "operator.json", "ticket", "file", "--wait", "2s", "out.json")
		if status != cli.ExitFailed || !strings.Contains(out, "a majority of the availability zones has not acknowledged it") {
			t.Errorf("status %d, output %q", status, out)
		}
		// The list of a large installation has megabytes.
		if d.wholeLists != 1 {
			t.Errorf("the whole instance list was read %d times while waiting, want once", d.wholeLists)
		}
	})
}

func TestUnknownOutcomeNamesTheOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t)
		d.objects.SetFaults(fakes.ObjectFaults{Down: true})
		status, out := d.run("--settings", "operator.json", "ticket", "file", "--operation-id", "op-7", "out.json")
		if status != cli.ExitFailed || !strings.Contains(out, "--operation-id op-7") {
			t.Errorf("status %d, output %q", status, out)
		}
	})
}

func TestUsageErrors(t *testing.T) {
	d := newDesk(t)
	for _, args := range [][]string{{}, {"ticket"}, {"ticket", "file"}, {"ticket", "file", "out.json"}, {"--nonsense"}, {"settings", "check", "out.json"}} {
		if status, out := d.run(args...); status != cli.ExitUsage || out == "" {
			t.Errorf("%q: status %d and output %q, want status %d and a message", args, status, out, cli.ExitUsage)
		}
	}
	for _, args := range [][]string{{"--help"}, {"--version"}, {"completion"}, {"ticket", "check", "out.json"}} {
		if status, out := d.run(args...); status != cli.ExitDone || out == "" {
			t.Errorf("%q: status %d and output %q, want status 0 and text", args, status, out)
		}
	}
}

func TestSettingsCheckReportsEveryFile(t *testing.T) {
	d := newDesk(t)
	d.write("bad.json", `{"operator": "", "platform": {"objectApi": "ftp://x"}}`)
	status, out := d.run("settings", "check", "--kind", "operator", "operator.json", "bad.json")
	want := `operator.json: ok
bad.json:1: operator: must not be empty
bad.json:1: platform.objectApi: "ftp://x" is not an http URL
bad.json:1: platform.instanceList: required key is missing
`
	if status != cli.ExitFailed {
		t.Errorf("status %d, want %d", status, cli.ExitFailed)
	}
	sorted := func(text string) map[string]bool {
		lines := map[string]bool{}
		for line := range strings.Lines(text) {
			lines[line] = true
		}
		return lines
	}
	if diff := cmp.Diff(sorted(want), sorted(out)); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
