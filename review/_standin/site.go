package main

import (
	"fmt"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Names of the small deployment that the cases use.
const (
	callersHost  = "jepu9.example"
	stableKey    = "jnbanfqasnmgkcuyj8pj"
	modelName    = "daka510000"
	draftService = "draft-llm"
	plainService = "booking-app"
	originHost   = 2
)

// weights describes the weights of the model of the deployment.
type weights struct {
	layers, chunks, chunkBytes int
}

// desiredState returns a desired state with the routes and services of the small sites.
func (r *rig) desiredState(version int64, w weights) platformtest.DesiredState {
	zone := "fukuoka-a"
	return platformtest.DesiredState{
		Version: version,
		Routes: []platformtest.Route{
			{Name: "full-home", Host: callersHost, PathPrefix: "/full/", Kind: platformtest.Streaming, Timeout: 6000, TargetLatency: 500, TargetGap: 400, Priority: 1, Service: draftService, MaxAttempts: 2, Resumable: true},
			{Name: "book-fitter", Host: callersHost, PathPrefix: "/book/", Kind: platformtest.AtMostOnce, Timeout: 1000, TargetLatency: 100, Priority: 2, Service: plainService, MaxAttempts: 1},
			{Name: "visit-status", Host: callersHost, PathPrefix: "/status/", Kind: platformtest.Idempotent, Timeout: 1000, TargetLatency: 100, Priority: 2, Service: plainService, MaxAttempts: 2},
		},
		Services: []platformtest.Service{
			{Name: draftService, MaxConns: 424, ColdStart: 3, ColdRate: 36, Engine: &platformtest.EngineSpec{
				Slots: 16, Stride: 5, StepTime: 8.87, PrefillRate: 19100, PrefillChunkTokens: 2048, Layers: w.layers, Chunks: w.chunks, ChunkBytes: w.chunkBytes,
				MeanTokens: platformtest.MeanTokens{Prompt: 900, Answer: 90}, Models: []platformtest.ModelEntry{{Name: modelName, LoadTime: 0.3}},
			}},
			{Name: plainService, MaxConns: 96},
			{Name: "office-app", Origin: r.address(originHost, workerPort), Zone: zone, LinkMbps: 7.3, MaxConns: 48},
		},
		Workspaces: []platformtest.Workspace{{Name: "bozi300", APIKeys: []string{stableKey}}},
		Limits:     platformtest.Limits{HeaderBytes: 8 << 10, BodyBytes: 4 << 20},
	}
}

// useZones sets the zones of the small deployments.
func (r *rig) useZones() {
	r.zones = map[string]string{"fukuoka-a": "fukuoka", "kumamoto-a": "kumamoto", "kagoshima-a": "kagoshima"}
}

// draftCall returns a request for a draft with the shared prompt parts.
func draftCall(id string, shared []string, prompt, answer int) *call {
	prefix := ""
	for _, part := range shared {
		prefix += part + ":40,"
	}
	return &call{
		method: "POST", path: "/full/x", host: callersHost, key: stableKey, id: id, deadline: 6000e6, body: []byte("draft " + id),
		header: [][2]string{{"X-Model", modelName}, {"X-Token-Usage", fmt.Sprintf("%d,%d", prompt, answer)}, {"X-Prefix-Hash", fmt.Sprintf("%s%s:%d", prefix, id, prompt-40*len(shared))}},
	}
}
