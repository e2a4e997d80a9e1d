package loader

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/deployment"
)

// loadersWithoutManifest returns the loaders of a region and their plan.
func loadersWithoutManifest(count int) ([]*Loader, Plan) {
	var loaders []*Loader
	var plan Plan
	for index := range count {
		l := &Loader{Deployment: deployment.Deployment{
			Instance: deployment.Instance{IP: fmt.Sprintf("10.0.%d.%d", index/250, index%250+1), AvailabilityZone: "zone-0", Region: "region-0"},
		}}
		loaders = append(loaders, l)
		plan.Members.Instances = append(plan.Members.Instances, Member{Instance: l.self()})
	}
	return loaders, plan
}

// Guards against engines that stay without weights because all loaders request a manifest from the
// origin at a time, which then rejects the ones that could pass it on as well. Each gets its turn.
func TestLoadersTakeTurnsAtTheOrigin(t *testing.T) {
	wanted := modelVersion{"draft", 2}
	for _, count := range []int{1, 2, 8, 60, 150} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			loaders, plan := loadersWithoutManifest(count)
			askedAt := map[string]bool{}
			most, first := 0, -1
			for waited := time.Duration(0); waited < 12*time.Second; waited += originTurn / 2 {
				asking := 0
				for _, l := range loaders {
					if _, peer := l.manifestPeer(plan, wanted, 0, waited); !peer {
						asking++
						askedAt[l.self().Name] = true
					}
				}
				if first < 0 {
					first = asking
				}
				most = max(most, asking)
			}
			type figures struct{ First, EverAsked int }
			if diff := cmp.Diff(figures{First: 1, EverAsked: count}, figures{First: first, EverAsked: len(askedAt)}); diff != "" {
				t.Errorf("loaders that request the manifest from the origin (-want +got):\n%s", diff)
			}
			if limit := manifestRoots + originGroup; most > limit {
				t.Errorf("%d loaders request the manifest from the origin at a time, want at most %d", most, limit)
			}
		})
	}
}

// Guards against a crowd at the origin after a power loss: a loader whose engine is not registered
// yet requests the manifest from others, unless it knows none.
func TestLoaderWithoutRegisteredEngineIsNotTheRoot(t *testing.T) {
	wanted := modelVersion{"draft", 2}
	loaders, plan := loadersWithoutManifest(40)
	asking := 0
	for index, l := range loaders {
		others := plan
		others.Members.Instances = append(append([]Member{}, plan.Members.Instances[:index]...), plan.Members.Instances[index+1:]...)
		if _, peer := l.manifestPeer(others, wanted, 0, 0); !peer {
			asking++
		}
	}
	if asking != 1 {
		t.Errorf("%d of %d loaders take themselves for the root, want 1", asking, len(loaders))
	}
	if _, peer := loaders[0].manifestPeer(Plan{}, wanted, 0, 0); peer {
		t.Error("a loader that knows no others does not request the manifest from the origin")
	}
}
