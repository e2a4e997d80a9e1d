package gateway

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/internal/storewatch"
)

// Guards against an entry of another writer that replaces a gateway's record, or that the other
// gateways call although it has no valid address, and against a record in the log each time that
// any other entry changes.
func TestOddMembers(t *testing.T) {
	var out bytes.Buffer
	log, err := event.NewLogger(&out, "json", "info", "gateway-0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Gateway{Log: log, peerTable: &peering.Table{Self: peering.Member{Name: "gateway-0"}}, observer: (&storewatch.Observer{Log: log}).Init()}
	objects := map[string]informer.Object{}
	for name, value := range map[string]string{
		"gateway-1":    `{"name":"gateway-1","control":"10.0.0.1:8000","incarnation":1}`,
		"other name":   `{"name":"gateway-1","control":"10.0.99.3:8000","incarnation":9223372036854775807}`,
		"port 0":       `{"name":"port 0","control":"10.0.0.1:0"}`,
		"port 99999":   `{"name":"port 99999","control":"10.0.0.1:99999"}`,
		"host name":    `{"name":"host name","control":"gateway.example:8000"}`,
		"no address":   `{"name":"no address"}`,
		"large number": `{"name":"large number","control":"10.0.0.1:8000","incarnation":1e400}`,
		"negative":     `{"name":"negative","control":"10.0.0.1:8000","incarnation":-1}`,
		"long":         `{"name":"long","control":"` + strings.Repeat("1", 900_000) + `"}`,
		"":             `{"name":"","control":"10.0.0.1:8000"}`,
		"no value":     "",
		"null":         "null",
	} {
		objects[name] = informer.Object{Name: name, Revision: 2, Value: json.RawMessage(value)}
	}
	for range 3 {
		g.applyMembers(informer.Snapshot{Revision: 2, Objects: objects})
	}
	want := []peering.Member{{Name: "gateway-1", Control: "10.0.0.1:8000", Incarnation: 1}}
	if diff := cmp.Diff(want, g.peerTable.Members()); diff != "" {
		t.Errorf("members (-want +got):\n%.2000s", diff)
	}
	if count := strings.Count(out.String(), "cannot be decoded"); count != len(objects)-1 {
		t.Errorf("logged %d times, want %d", count, len(objects)-1)
	}
	if out.Len() > 2048*len(objects) {
		t.Errorf("the log has %d bytes", out.Len())
	}
}
