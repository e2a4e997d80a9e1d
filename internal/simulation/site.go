// Package simulation runs the dispatchers of several gateways against emulated engines
// under load patterns and summarizes the outcomes for callers. It uses no network: requests
// are function calls between callers, gateways and engines after a delay on the runtime's
// clock.
package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// Site describes an installation. Every availability zone is a separate region.
type Site struct {
	Name string
	// Gateways and Engines are the numbers of gateways and engines in each availability zone.
	Gateways []int
	Engines  []int
	Engine   configuration.Engine
	// QueueCapacity is the number of requests that can be queued at an engine beyond its slots.
	QueueCapacity int
	Kinds         []Kind
	// CallerDelay and RegionDelay are the one-way delays between callers and gateways and
	// between regions.
	CallerDelay time.Duration
	RegionDelay time.Duration
	// LeaverRate is the rate of additional callers that leave, as a part of the other callers'.
	LeaverRate float64
}

// Kind describes a class of requests.
type Kind struct {
	Name string
	// Rate is the number of requests per second at the base load, over all gateways.
	Rate          float64
	PromptTokens  TokenDistribution
	AnswerTokens  TokenDistribution
	TargetLatency time.Duration
	// Priority ranks the kind; 0 is the most urgent.
	Priority int
	// InTimeValue and LateValue are the mean values of a response in time and of a late one.
	InTimeValue float64
	LateValue   float64
}

// TokenDistribution is a log-normal distribution of token counts with the given mean and
// standard deviation of the logarithm. Counts above Max are reduced to Max.
type TokenDistribution struct {
	Mean  float64
	Sigma float64
	Max   float64
}

const (
	model   = "draft"
	service = "drafts"
	// callerTimeout is the time limit of a request, from its start to the end of the response.
	callerTimeout = 6 * time.Second
	// digestInterval is the interval of the digests that two gateways of a region exchange.
	digestInterval = 100 * time.Millisecond
	// remoteDigestInterval is the digest interval between gateways of different regions.
	remoteDigestInterval = 200 * time.Millisecond
	// reportInterval is the interval of the reports that gateways of different cells of a
	// region receive, remoteReportInterval that of gateways of different regions.
	// reportDelay is the time that a report is passed on within a cell.
	reportInterval       = 300 * time.Millisecond
	remoteReportInterval = 900 * time.Millisecond
	reportDelay          = 200 * time.Millisecond
	// sameZoneDelay is the one-way delay within an availability zone.
	sameZoneDelay = 100 * time.Microsecond
)

// referenceEngine returns the engine that the users' specification describes.
func referenceEngine(slots int) configuration.Engine {
	return configuration.Engine{
		Slots: slots, TokensPerEvent: 5, StepTime: 8870 * time.Microsecond, TimePerSequence: 38800 * time.Nanosecond,
		TimePerKiloContext: 22700 * time.Nanosecond, PrefillRate: 19100, TimePerMegaPair: 1470 * time.Microsecond, PrefillChunkTokens: 2048,
		MeanPromptTokens: 980, MeanResponseTokens: 94, Models: []string{model},
	}
}

// draftKinds returns the kinds of drafts in the users' specification at the given rates.
func draftKinds(long, middle, short float64) []Kind {
	return []Kind{
		{Name: "long", Rate: long, PromptTokens: TokenDistribution{1290, 1, 3880}, AnswerTokens: TokenDistribution{105, 0.89, 262}, TargetLatency: 500 * time.Millisecond, InTimeValue: 2.4, LateValue: 0.6},
		{Name: "middle", Rate: middle, PromptTokens: TokenDistribution{787, 1, 3330}, AnswerTokens: TokenDistribution{105, 0.69, 262}, TargetLatency: 400 * time.Millisecond, InTimeValue: 2, LateValue: 0.49},
		{Name: "short", Rate: short, PromptTokens: TokenDistribution{607, 1, 3330}, AnswerTokens: TokenDistribution{70, 0.9, 262}, TargetLatency: 400 * time.Millisecond, InTimeValue: 1.5, LateValue: 0.37},
	}
}

// RankedSite returns an installation with engines for about 60% of its load, whose kinds have
// different priorities. A late response is worth 10%, 25% or 37% of one in time. The values in time
// are those of the kinds of the other installations.
func RankedSite() Site {
	return Site{
		Name: "ranked", Gateways: []int{2, 1, 1}, Engines: []int{2, 2, 2}, QueueCapacity: 24,
		Engine: configuration.Engine{
			Slots: 12, TokensPerEvent: 7, StepTime: 6730 * time.Microsecond, TimePerSequence: 29400 * time.Nanosecond,
			TimePerKiloContext: 17200 * time.Nanosecond, PrefillRate: 30600, TimePerMegaPair: 920 * time.Microsecond, PrefillChunkTokens: 2048,
			MeanPromptTokens: 930, MeanResponseTokens: 120, Models: []string{model},
		},
		Kinds: []Kind{
			{Name: "long", Rate: 31, PromptTokens: TokenDistribution{1330, 1, 3880}, AnswerTokens: TokenDistribution{147, 0.8, 367}, TargetLatency: 400 * time.Millisecond, InTimeValue: 2.4, LateValue: 0.24},
			{Name: "middle", Rate: 37, PromptTokens: TokenDistribution{827, 1, 3330}, AnswerTokens: TokenDistribution{147, 0.69, 367}, TargetLatency: 400 * time.Millisecond, Priority: 1, InTimeValue: 2, LateValue: 0.5},
			{Name: "short", Rate: 26, PromptTokens: TokenDistribution{647, 1, 3330}, AnswerTokens: TokenDistribution{70, 0.9, 262}, TargetLatency: 800 * time.Millisecond, Priority: 2, InTimeValue: 1.5, LateValue: 0.55},
		},
		CallerDelay: 3 * time.Millisecond, RegionDelay: 1800 * time.Microsecond,
	}
}

// priorities returns the priorities of the kinds, in ascending order without duplicates.
func (s *Site) priorities() []int {
	var list []int
	for _, kind := range s.Kinds {
		list = append(list, kind.Priority)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// CurrentSite returns the current Tegaki installation, including the engines that were added
// for days of high load.
func CurrentSite() Site {
	return Site{
		Name: "today", Gateways: []int{2, 1, 1}, Engines: []int{7, 7, 6}, Engine: referenceEngine(16), QueueCapacity: 32,
		Kinds: draftKinds(59.2, 45.1, 42.6), CallerDelay: 3 * time.Millisecond, RegionDelay: 1800 * time.Microsecond,
	}
}

// GrownSite returns the same installation after growth.
func GrownSite() Site {
	return Site{
		Name: "grown", Gateways: []int{4, 4, 4}, Engines: []int{25, 25, 26}, Engine: referenceEngine(12), QueueCapacity: 24,
		Kinds: draftKinds(192, 141, 137), CallerDelay: 3 * time.Millisecond, RegionDelay: 1800 * time.Microsecond,
	}
}

// LargeSite returns an installation of hundreds of instances in five regions, including the
// engines that were added for days of high load.
func LargeSite() Site {
	return Site{
		Name: "large", Gateways: []int{10, 13, 13, 12, 11}, Engines: []int{41, 41, 41, 41, 40}, QueueCapacity: 16,
		Engine: configuration.Engine{
			Slots: 8, TokensPerEvent: 5, StepTime: 13300 * time.Microsecond, TimePerSequence: 58200 * time.Nanosecond,
			TimePerKiloContext: 34100 * time.Nanosecond, PrefillRate: 12700, TimePerMegaPair: 2210 * time.Microsecond, PrefillChunkTokens: 2048,
			MeanPromptTokens: 980, MeanResponseTokens: 73, Models: []string{model},
		},
		Kinds: []Kind{
			{Name: "long", Rate: 341, PromptTokens: TokenDistribution{1330, 1, 3880}, AnswerTokens: TokenDistribution{74, 0.89, 185}, TargetLatency: 800 * time.Millisecond, InTimeValue: 2.2, LateValue: 0.56},
			{Name: "middle", Rate: 250, PromptTokens: TokenDistribution{827, 1, 3330}, AnswerTokens: TokenDistribution{74, 0.69, 185}, TargetLatency: 600 * time.Millisecond, InTimeValue: 1.9, LateValue: 0.47},
			{Name: "short", Rate: 189, PromptTokens: TokenDistribution{647, 0.96, 2640}, AnswerTokens: TokenDistribution{70, 0.9, 185}, TargetLatency: 500 * time.Millisecond, InTimeValue: 1.7, LateValue: 0.43},
		},
		CallerDelay: 3 * time.Millisecond, RegionDelay: 1800 * time.Microsecond, LeaverRate: 0.1,
	}
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }
