// Package simulation runs the dispatchers of several gateways against emulated engines
// under patterns of load, and summarizes the results for callers. It needs no network:
// requests pass between callers, gateways and engines as calls after a delay, on the
// runtime's clock.
package simulation

import (
	"fmt"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// Site is an installation. Every availability zone is a region of its own.
type Site struct {
	Name string
	// Gateways and Engines are the numbers in each availability zone.
	Gateways []int
	Engines  []int
	Engine   configuration.Engine
	// QueueCapacity is the number of requests that wait at an engine beyond its slots.
	QueueCapacity int
	Kinds         []Kind
	// CallerDelay and RegionDelay are one-way delays: between callers and gateways, and
	// between regions.
	CallerDelay time.Duration
	RegionDelay time.Duration
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is the number of requests a second at the usual load, at all gateways.
	Rate          float64
	Prompt        TokenDistribution
	Answer        TokenDistribution
	TargetLatency time.Duration
	// InTimeValue is what an answer in time is worth on average, Late what a later one is.
	InTimeValue float64
	LateValue   float64
}

// TokenDistribution is a log-normal number of tokens.
type TokenDistribution struct {
	Mean  float64
	Sigma float64
	Max   float64
}

const (
	model   = "draft"
	service = "drafts"
	// callerTimeout is how long a caller waits for the whole answer.
	callerTimeout = 6 * time.Second
	// digestInterval is how often two gateways tell each other how they are.
	digestInterval = 100 * time.Millisecond
	// remoteDigestInterval is the same for gateways of different regions.
	remoteDigestInterval = 200 * time.Millisecond
	// sameZoneDelay is the one-way delay within an availability zone.
	sameZoneDelay = 100 * time.Microsecond
)

// referenceEngine is the engine of the users' sheets.
func referenceEngine(slots int) configuration.Engine {
	return configuration.Engine{
		Slots: slots, TokensPerEvent: 5, StepTime: 8870 * time.Microsecond, TimePerSequence: 38800 * time.Nanosecond,
		TimePerKiloContext: 22700 * time.Nanosecond, PrefillRate: 19100, TimePerMegaPair: 1470 * time.Microsecond, PrefillChunkTokens: 2048,
		MeanPromptTokens: 980, MeanAnswerTokens: 94, Models: []string{model},
	}
}

// draftKinds returns the draftKinds of drafts of the users' sheets at the given rates.
func draftKinds(long, middle, short float64) []Kind {
	return []Kind{
		{Name: "long", Rate: long, Prompt: TokenDistribution{1290, 1, 3880}, Answer: TokenDistribution{105, 0.89, 262}, TargetLatency: 500 * time.Millisecond, InTimeValue: 2.4, LateValue: 0.6},
		{Name: "middle", Rate: middle, Prompt: TokenDistribution{787, 1, 3330}, Answer: TokenDistribution{105, 0.69, 262}, TargetLatency: 400 * time.Millisecond, InTimeValue: 2, LateValue: 0.49},
		{Name: "short", Rate: short, Prompt: TokenDistribution{607, 1, 3330}, Answer: TokenDistribution{70, 0.9, 262}, TargetLatency: 400 * time.Millisecond, InTimeValue: 1.5, LateValue: 0.37},
	}
}

// CurrentSite returns the Tegaki installation of today, with the engines that were added on
// its heavy days.
func CurrentSite() Site {
	return Site{
		Name: "today", Gateways: []int{2, 1, 1}, Engines: []int{7, 7, 6}, Engine: referenceEngine(16), QueueCapacity: 32,
		Kinds: draftKinds(59.2, 45.1, 42.6), CallerDelay: 3 * time.Millisecond, RegionDelay: 1800 * time.Microsecond,
	}
}

// GrownSite returns the same installation after it has grown.
func GrownSite() Site {
	return Site{
		Name: "grown", Gateways: []int{4, 4, 4}, Engines: []int{25, 25, 26}, Engine: referenceEngine(12), QueueCapacity: 24,
		Kinds: draftKinds(192, 141, 137), CallerDelay: 3 * time.Millisecond, RegionDelay: 1800 * time.Microsecond,
	}
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }
