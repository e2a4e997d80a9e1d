package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/checkpoint"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// oddEntries are objects that another writer may leave among those of any kind.
func oddEntries() map[string]string {
	nested := strings.Repeat(`[{"a":`, 50_000) + "1" + strings.Repeat("}]", 50_000)
	shallow := strings.Repeat(`{"a":`, 5000) + "1" + strings.Repeat("}", 5000)
	named := func(rest string) string {
		return `{"metadata":{"name":"odd","revision":` + platformtest.RevisionMark + `}` + rest + "}"
	}
	endpoint := func(field, value string) string {
		fields := map[string]string{
			"service": `"booking"`, "address": `"10.0.99.3:90"`, "zone": `"zone-0"`, "version": "1", "slots": "6", "state": `"ready"`, "cold_remaining_ms": "0",
			"seq_no": "1", "born": "1", "model": `"draft"`, "name": `"odd"`, "control": `"10.0.99.3:8000"`, "callers": `"10.0.99.3:8005"`,
		}
		fields[field] = value
		var members []string
		for name, text := range fields {
			members = append(members, `"`+name+`":`+text)
		}
		return named(`,"spec":{` + strings.Join(members, ",") + "}")
	}
	return map[string]string{
		"entry in order":                          endpoint("seq_no", "2"),
		"value nested 100000 levels deep":         named(`,"spec":` + nested),
		"value nested 5000 levels deep":           named(`,"spec":` + shallow),
		"status nested 100000 levels deep":        named(`,"spec":{"model":"other","version":1},"status":` + nested),
		"metadata nested 100000 levels deep":      `{"metadata":{"name":"odd","revision":` + platformtest.RevisionMark + `,"labels":` + nested + `},"spec":{}}`,
		"revision too large":                      `{"metadata":{"name":"odd","revision":1e400},"spec":{}}`,
		"metadata missing":                        `{"spec":{}}`,
		"null":                                    `null`,
		"value that is not JSON":                  named(`,"spec":{"slots":NaN}`),
		"value of another type":                   named(`,"spec":"` + strings.Repeat("x", 900_000) + `"`),
		"number too large":                        endpoint("slots", "1e400"),
		"number of 64 bits":                       endpoint("slots", "9223372036854775807"),
		"negative number":                         endpoint("slots", "-1"),
		"start too late":                          endpoint("born", "9223372036854775807"),
		"start too late at an address in use":     strings.ReplaceAll(endpoint("born", "9223372036854775807"), "10.0.99.3", "10.0.10.3"),
		"unknown service at an address in use":    strings.ReplaceAll(endpoint("service", `"elsewhere","born":1700000000000`), "10.0.99.3", "10.0.10.3"),
		"port 0":                                  endpoint("address", `"10.0.99.3:0"`),
		"port out of range":                       endpoint("address", `"10.0.10.3:99999"`),
		"no port":                                 endpoint("address", `"10.0.10.3"`),
		"address of a gateway":                    endpoint("address", `"`+gatewayAddress(0)+`"`),
		"address of a gateway for other gateways": endpoint("address", `"`+gatewayHost(1)+`:8000"`),
		"address of the store":                    endpoint("address", `"`+storeAddress+`"`),
		"address of the origin":                   endpoint("address", `"`+originAddress+`"`),
		"unknown state":                           endpoint("state", `"asleep"`),
		"unknown availability zone":               endpoint("zone", `"elsewhere"`),
		"version too large":                       endpoint("version", "1e400"),
		"control address out of range":            endpoint("control", `"10.0.99.3:99999"`),
		"control address of a gateway":            endpoint("control", `"`+gatewayHost(1)+`:8000","incarnation":9223372036854775807`),
		"name of a gateway":                       endpoint("name", `"`+gatewayName(1)+`","incarnation":9223372036854775807`),
		"second request for a model":              endpoint("version", "1000"),
	}
}

// oddEntrySets returns sets of odd entries by name; an installation is tested with each set. The
// race detector makes an installation for each entry too slow: it gets one with all of them.
func oddEntrySets() map[string][]string {
	sets := map[string][]string{}
	for name, text := range oddEntries() {
		if oneInstallationForOddEntries {
			name = "all entries"
			text = strings.Replace(text, `"metadata":{"name":"odd"`, fmt.Sprintf(`"metadata":{"name":"odd-%d"`, len(sets[name])), 1)
		}
		sets[name] = append(sets[name], text)
	}
	return sets
}

// putOddEntries adds a set of odd entries to those of all kinds.
func (i *installation) putOddEntries(texts []string) {
	for _, kind := range watchedKinds {
		for index, text := range texts {
			i.store.PutText(kind, oddName(texts, index), []byte(text))
		}
	}
}

// oddName returns the name under which an entry of a set is stored.
func oddName(texts []string, index int) string {
	if len(texts) == 1 {
		return "odd"
	}
	return fmt.Sprintf("odd-%d", index)
}

var watchedKinds = []string{"servers", "gateways", "versions", "evacuations", "config"}

// requireFollowed fails the test unless changes of all kinds take effect at all gateways, with no
// more than the usual number of calls to the store.
func (i *installation) requireFollowed(what string, round int) {
	i.t.Helper()
	path := i.addRoute(fmt.Sprintf("route%d", round))
	added := i.startBookingService(1, 20+round)
	i.store.Evacuate(zoneName(2))
	time.Sleep(bounds.ZoneEvacuation)
	evacuated, served := i.endpoints["booking-2-0"].Arrivals(), added.Arrivals()
	for range 20 {
		i.requireServed(what, path, true, 0, 1, 2)
	}
	i.requireServed(what, "/never-configured/1", false, 0, 1, 2)
	if i.endpoints["booking-2-0"].Arrivals() != evacuated {
		i.t.Errorf("%s: requests were sent to the availability zone that is out of service", what)
	}
	if added.Arrivals() == served {
		i.t.Errorf("%s: the endpoint that was added received no request", what)
	}
	i.store.EndEvacuation(zoneName(2))
	added.Deregister()
	time.Sleep(bounds.ZoneEvacuation)
	const quiet = time.Minute
	calls, checkpoints := 0, -i.storeCalls().total("checkpoints")
	for zone := range zoneCount {
		calls -= i.store.Calls(gatewayName(zone))
	}
	time.Sleep(quiet)
	for zone := range zoneCount {
		calls += i.store.Calls(gatewayName(zone))
	}
	checkpoints += i.storeCalls().total("checkpoints")
	if most := quiet.Seconds()/checkpoint.WriteInterval.Seconds() + 1; checkpoints > most {
		i.t.Errorf("%s: %v writes of the checkpoint in a quiet minute, want %v at most", what, checkpoints, most)
	}
	if calls -= int(checkpoints); calls > maxQuietCalls {
		i.t.Errorf("%s: %d calls to the store in a quiet minute, want %d at most", what, calls, maxQuietCalls)
	}
}

// verifyingCalls is the number of calls with which a process verifies the copy of a kind in a
// minute without changes: watches of 1.5 s each.
const verifyingCalls = 41

// maxQuietCalls is the number of calls that all gateways make in a minute without changes: of the
// two that watch five kinds, one verifies each, and the other watches for half a minute each time.
// Each gateway may check its registration. The writes of the checkpoint are counted apart.
const maxQuietCalls = 5*verifyingCalls + 5*3 + 3*3

// Guards against processes that end, or stop following the store, while another writer has left
// an entry among those of the endpoints that cannot be used.
func TestOddEntries(t *testing.T) {
	for name, texts := range oddEntrySets() {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.putOddEntries(texts)
				i.requireFollowed("entry added", 0)
				i.stopProcess(gatewayName(1))
				i.startGateway(1)
				time.Sleep(startupTime)
				i.requireFollowed("entry present at the start of a gateway", 1)
				i.store.CloseWatches(true)
				i.putOddEntries(texts)
				i.requireFollowed("entry present in a new list", 2)
				for _, kind := range watchedKinds {
					for index := range texts {
						i.store.Delete(kind, oddName(texts, index))
					}
				}
				i.requireFollowed("entry deleted", 3)
			})
		})
	}
}

// Guards against loaders that do not follow the store by themselves, without gateways, while
// another writer has left an entry that cannot be used.
func TestLoadersWithOddEntries(t *testing.T) {
	for name, texts := range oddEntrySets() {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.store.RequestRollout(modelName, 1)
				i.putOddEntries(texts)
				time.Sleep(time.Second)
				for zone := range zoneCount {
					i.stopProcess(gatewayName(zone))
				}
				time.Sleep(10 * time.Second)
				loader := "loader-" + engineName(0, 0)
				calls := -i.store.Calls(loader)
				time.Sleep(time.Minute)
				if calls += i.store.Calls(loader); calls > 4*verifyingCalls {
					t.Errorf("%d calls to the store in a quiet minute, want %d at most", calls, 4*verifyingCalls)
				}
				i.store.RequestRollout(modelName, 2)
				time.Sleep(bounds.Rollout)
				for zone := range zoneCount {
					if got := i.endpoints[engineName(zone, 0)].Engine.Version(); got != 2 {
						t.Errorf("%s serves version %d, want 2", engineName(zone, 0), got)
					}
				}
			})
		})
	}
}
