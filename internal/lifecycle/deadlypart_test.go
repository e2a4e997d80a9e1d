package lifecycle

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	deadlyPart = "bad0"
	// contactTime is the time after the fifth crash from which gateways must not send requests with
	// the part, but for maxSentAfterContact.
	contactTime         = 3 * time.Second
	maxSentAfterContact = 3
	crashesToLearn      = 5
)

// stream sends a request for a stream to one of the gateways in turn.
func (s *site) stream(number int, id string, parts ...string) (platformtest.Response, error) {
	d := s.gateways[number%len(s.gateways)]
	return platformtest.Do(func(string) (net.Conn, error) { return d.dial(context.Background()) }, platformtest.Request{
		Gateway: s.address(d.host, callersPort), AttemptID: id, Method: "POST", Host: callersHost, Path: "/draft/new", APIKey: stableKey, Body: "body of " + id,
		Timeout: 4 * time.Second, Model: modelName, PromptTokens: 500, OutputTokens: 50, PromptParts: parts,
	})
}

// streamAtOnce sends a request with the parts for each engine at the same time.
func (s *site) streamAtOnce(kind string, parts ...string) {
	group := concurrency.NewGroup(context.Background())
	for number := range s.loaders {
		group.Go(func(context.Context) {
			// The engines record what the test needs.
			_, _ = s.stream(number, fmt.Sprintf("%s-%d", kind, number), parts...)
		})
	}
	group.Wait()
}

// crashes returns the times of all crashes in order.
func (s *site) crashes() []time.Time {
	var all []time.Time
	for _, endpoint := range s.endpoints {
		all = append(all, endpoint.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// Guards against requests with a part that ends engines, and that are still sent to engines long
// after several have ended: they had ended at the same moment, which counted as one.
func TestPartThatEndsManyEnginesAtOnceStopsReachingThem(t *testing.T) {
	s := newSiteOf(t, 3, 6)
	defer s.close()
	s.start()
	for number := range 12 {
		if response, err := s.stream(number, fmt.Sprint("sound-", number), "first", "subject"); err != nil || response.Status != 200 {
			t.Errorf("status %d of a sound request, error %v", response.Status, err)
		}
	}
	for _, endpoint := range s.endpoints {
		if endpoint.Engine != nil {
			endpoint.SetFaults(platformtest.EndpointFaults{CrashOnPart: deadlyPart})
		}
	}
	s.streamAtOnce("first", "first", deadlyPart)
	all := s.crashes()
	if len(all) < crashesToLearn {
		t.Fatalf("%d engines ended, want %d or more", len(all), crashesToLearn)
	}
	fifth := all[crashesToLearn-1]
	if !s.awaitVersion(1, rolloutPatience) {
		t.Error("not all engines are back")
	}
	time.Sleep(time.Until(fifth.Add(contactTime + time.Second)))
	s.streamAtOnce("second", "first", deadlyPart)
	late := 0
	for _, runs := range s.executions() {
		for _, run := range runs {
			if slices.Contains(run.PromptParts, deadlyPart) && run.StartedAt.Sub(fifth) > contactTime {
				late++
			}
		}
	}
	if late > maxSentAfterContact {
		t.Errorf("%d requests with the part reached engines later than %s after the fifth end, %d may", late, contactTime, maxSentAfterContact)
	}
	if response, err := s.stream(0, "sound-afterwards", "first", "subject"); err != nil || response.Status != 200 {
		t.Errorf("status %d of a sound request afterwards, error %v", response.Status, err)
	}
}
