package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// An endpoint is silent only while a begun stream waits for more of it and none receives anything.
func TestEndpointActivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var activity endpointActivity
		start := time.Now()
		silent := func() bool { return activity.silentSince("engine", time.Now()) }
		got := map[string]bool{"no stream": silent()}
		activity.beginRead("engine")
		activity.beginRead("engine")
		time.Sleep(silenceTime - time.Millisecond)
		got["short pause"] = silent()
		activity.endRead("engine", 1)
		time.Sleep(silenceTime - time.Millisecond)
		got["another stream goes on"] = silent()
		time.Sleep(time.Millisecond)
		got["long pause"] = silent()
		got["long pause, since the start"] = activity.silentSince("engine", start)
		activity.endRead("engine", 1)
		got["nothing to wait for"] = silent()
		time.Sleep(time.Minute)
		activity.beginRead("engine")
		got["new read"] = silent()
		activity.endRead("engine", 1)
		want := map[string]bool{
			"no stream": false, "short pause": false, "another stream goes on": false, "long pause": true,
			"long pause, since the start": false, "nothing to wait for": false, "new read": false,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("silent endpoints (-want +got):\n%s", diff)
		}
		if len(activity.endpoints) > 0 {
			t.Errorf("%d endpoints without streams are remembered", len(activity.endpoints))
		}
	})
}

// Guards against an endpoint that does not count as silent because the gateway ended a read of its
// stream.
func TestEndedReadIsNoSignOfAnEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var activity endpointActivity
		start := time.Now()
		time.Sleep(time.Second)
		activity.beginRead("engine")
		activity.endRead("engine", 0)
		ended := activity.receivedSince("engine", start)
		activity.recordHeader("engine")
		header := activity.receivedSince("engine", start)
		activity.forget(time.Now().Add(time.Millisecond))
		forgotten := activity.receivedSince("engine", start)
		activity.beginRead("engine")
		activity.endRead("engine", 1)
		got := map[string]bool{"ended read": ended, "header": header, "forgotten": forgotten, "data": activity.receivedSince("engine", start)}
		want := map[string]bool{"ended read": false, "header": true, "forgotten": false, "data": true}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("received from the endpoint (-want +got):\n%s", diff)
		}
	})
}
