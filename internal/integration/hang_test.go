package integration

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against an endpoint that never responds and stays in use because its callers leave
// before their timeout.
func TestHungEndpointIsAvoidedAlthoughCallersLeave(t *testing.T) {
	const calls = 30
	for path, hung := range map[string]string{"/status/1": "booking-0-0", "/draft/new": engineName(0, 0)} {
		t.Run(path, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.endpoints[hung].SetFaults(platformtest.EndpointFaults{Hang: true})
				unanswered := 0
				for range calls {
					call := i.call(0, path)
					if path == "/draft/new" {
						call = i.chatCall(0)
					}
					call.DisconnectAfter = time.Second
					if response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call); err != nil || !response.Complete {
						unanswered++
					}
				}
				if unanswered > calls/5 {
					t.Errorf("%d of %d callers left without a response, want at most %d", unanswered, calls, calls/5)
				}
				i.endpoints[hung].SetFaults(platformtest.EndpointFaults{})
			})
		})
	}
}
