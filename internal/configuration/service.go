package configuration

import "time"

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint accepts
	// from all clients together.
	MaxConnections int
	// ColdStart is the duration of the cold start of an endpoint.
	ColdStart time.Duration
	// ColdRate is the maximum number of requests per second to an endpoint in cold
	// start.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is nil unless the service provides weights.
	Origin *Origin
}

// Engine describes the model engines of a service: the speed of prefill and
// decode, and the weights.
type Engine struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// KVCacheTokens is the capacity of the KV cache in tokens.
	KVCacheTokens int
	// StepTime is the base time of a decode step, which produces one token for each
	// request in the batch. TimePerSequence is added for each of these requests and
	// TimePerKiloContext for each thousand tokens of their contexts.
	StepTime           time.Duration
	TimePerSequence    time.Duration
	TimePerKiloContext time.Duration
	// PrefillRate is the number of prompt tokens processed per second. TimePerMegaPair
	// is added for each million pairs of a prompt token and an earlier one.
	PrefillRate     float64
	TimePerMegaPair time.Duration
	// PrefillChunkTokens is the maximum number of prompt tokens processed in one step.
	PrefillChunkTokens int
	// TokensPerEvent is the number of tokens in an event, and the number of decode
	// steps in a pass.
	TokensPerEvent int
	// ReportLag is the age of the load that an engine reports.
	ReportLag time.Duration
	// MeanPromptTokens and MeanResponseTokens are the mean numbers of tokens in the
	// prompt and in the response of a request.
	MeanPromptTokens   int
	MeanResponseTokens int
	Models             []string
	// LoadTime is the time that an engine takes to load all layers.
	LoadTime time.Duration
	// Chunks is the number of chunks in a weight set.
	Chunks     int
	ChunkBytes int
	Layers     int
	// EnforcesFencing is true if engines refuse orders with an outdated fencing token.
	EnforcesFencing bool
}

// Origin is the service from which weights are fetched.
type Origin struct {
	Address            string
	AvailabilityZone   string
	LinkBytesPerSecond float64
	MaxConnections     int
}
