package configuration

import "time"

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most connections that one endpoint takes from all
	// callers together.
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests a second a cold endpoint tolerates.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Origin is nil unless the service hands out weights.
	Origin *Origin
}

// Engine describes the model engines of a service: how fast they read prompts
// and write tokens, and the weights they hold.
type Engine struct {
	// Slots is the number of requests that are worked on at a time.
	Slots int
	// KVCacheTokens is the number of tokens that the memory for requests holds.
	KVCacheTokens int
	// StepTime is the time of a step that writes one token for every request in
	// the batch; PerSequence is added for each of them and PerKiloContext for each
	// thousand tokens of their contexts.
	StepTime           time.Duration
	TimePerSequence    time.Duration
	TimePerKiloContext time.Duration
	// PrefillRate is the number of prompt tokens read in a second, PerMegaPair what
	// is added for each million pairs of a token and an earlier one.
	PrefillRate     float64
	TimePerMegaPair time.Duration
	// PrefillChunkTokens is the most prompt tokens that are read in one step.
	PrefillChunkTokens int
	// TokensPerEvent is the number of steps of a pass, and the number of tokens in an
	// event.
	TokensPerEvent int
	// ReportLag is the age of the load that an engine tells others.
	ReportLag time.Duration
	// MeanPromptTokens and UsualAnswer are the mean numbers of tokens.
	MeanPromptTokens int
	MeanAnswerTokens int
	Models           []string
	// LoadTime is how long it takes to load all layers.
	LoadTime time.Duration
	// Chunks is the number of chunks of one set of weights.
	Chunks     int
	ChunkBytes int
	Layers     int
	// EnforcesFencing is true if engines refuse orders with an old fencing token.
	EnforcesFencing bool
}

// Origin is where weights come from.
type Origin struct {
	Address            string
	AvailabilityZone   string
	LinkBytesPerSecond float64
	MaxConnections     int
}
