package main

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Figures of the users' deployment cairnloch-quota.
const (
	coldPerSecond = 36
	coldStart     = 3.0
	coldOvershoot = 1.5
	coldTolerance = 5
)

const (
	serviceName = "drafting-models"
	modelName   = "draft"
	callersHost = "cairnloch.example"
	engineHost  = 31
	chunkCount  = 96
	chunkBytes  = 24576
	stepMS      = 8.87
)

// engineConfig is the configuration of the engines.
var engineConfig = configuration.Engine{
	Slots: 16, TokensPerEvent: 5, StepTime: time.Duration(stepMS * float64(time.Millisecond)), PrefillRate: 19_100, PrefillChunkTokens: 2048, Layers: 16,
	Chunks: chunkCount, ChunkBytes: chunkBytes, LoadTime: 300 * time.Millisecond, MeanPromptTokens: 100, MeanResponseTokens: 5,
}

// desiredState returns a configuration with one resumable route to the engines.
func desiredState(origin string) platformtest.DesiredState {
	return platformtest.DesiredState{
		Version: 1,
		Routes: []platformtest.Route{{
			Name: "balance-explain", Host: callersHost, PathPrefix: "/explain/", Kind: platformtest.Streaming, Timeout: 6000, TargetLatency: 400, TargetGap: 400,
			Priority: 1, Service: serviceName, MaxAttempts: 2, Public: true, Resumable: true,
		}},
		Services: []platformtest.Service{
			{Name: serviceName, MaxConns: 334, ColdStart: coldStart, ColdRate: coldPerSecond, Engine: &platformtest.EngineSpec{
				Slots: engineConfig.Slots, Stride: engineConfig.TokensPerEvent, StepTime: stepMS, PrefillRate: engineConfig.PrefillRate,
				PrefillChunkTokens: engineConfig.PrefillChunkTokens, Layers: engineConfig.Layers, Chunks: engineConfig.Chunks, ChunkBytes: chunkBytes,
				MeanTokens: platformtest.MeanTokens{Prompt: engineConfig.MeanPromptTokens, Answer: engineConfig.MeanResponseTokens},
				Models:     []platformtest.ModelEntry{{Name: modelName, LoadTime: 0.3}},
			}},
			{Name: "campus-portal", Origin: origin, Zone: zoneName, LinkMbps: 7.3, MaxConns: 48},
		},
		Limits: platformtest.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20},
	}
}

// sortTimes sorts times in ascending order.
func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }

// plainState returns a configuration with one route to the plain service.
func plainState() platformtest.DesiredState {
	return platformtest.DesiredState{
		Version: 1,
		Routes: []platformtest.Route{{
			Name: "balance-read", Host: callersHost, PathPrefix: "/balance/", Kind: platformtest.Idempotent, Timeout: 2000, TargetLatency: 100,
			Priority: 2, Service: plainService, MaxAttempts: 2, Public: true,
		}},
		Services: []platformtest.Service{{Name: plainService, MaxConns: 480, ColdStart: coldStart, ColdRate: coldPerSecond}},
		Limits:   platformtest.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20},
	}
}
