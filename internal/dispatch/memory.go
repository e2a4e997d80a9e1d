package dispatch

import "github.com/mimosaward/mimosaward/internal/configuration"

// memoryTokens returns the number of tokens that the memory of the engine holds, 0 if its status
// does not report that.
func (s *endpointState) memoryTokens(engineConfig *configuration.Engine) int {
	if engineConfig == nil || engineConfig.Layers <= 0 || s.status.Memory <= 0 {
		return 0
	}
	return int(s.status.Memory / int64(engineConfig.Layers))
}

// sharedTokens returns the tokens of the gateway's requests if the engine reports the size of its
// memory.
func (s *endpointState) sharedTokens() int {
	if s.status.Memory <= 0 {
		return 0
	}
	return s.tokens
}

// addMemory adds to the snapshot how many tokens the memory of the engine holds, and how many of
// those the requests of other gateways take. A request that no digest reports yet counts with the
// mean number of tokens.
func (s *endpointSnapshot) addMemory(engineConfig *configuration.Engine) {
	s.memoryTokens = s.state.memoryTokens(engineConfig)
	if s.memoryTokens == 0 {
		return
	}
	unreported := s.running - s.state.running
	for _, load := range s.state.peerLoads {
		s.othersTokens += load.tokens
		unreported -= load.running
	}
	s.othersTokens += max(0, unreported) * (engineConfig.MeanPromptTokens + engineConfig.MeanResponseTokens)
}

// tokensOf returns the number of tokens that the job takes in the memory of an engine: its prompt
// and the expected response.
func tokensOf(engineConfig *configuration.Engine, job *Job) int {
	if engineConfig == nil {
		return 0
	}
	response := job.ResponseTokens
	if response == 0 {
		response = engineConfig.MeanResponseTokens
	}
	return job.PromptTokens + response
}

// exceedsMemory reports whether the memory of the engine holds fewer tokens than the job takes. An
// engine whose requests exceed its memory ends, and all requests there fail.
func (s *endpointSnapshot) exceedsMemory(tokens int) bool {
	return s.memoryTokens > 0 && tokens > s.memoryTokens
}

// hasMemory reports whether the memory of the engine holds the job in addition to the requests that
// gateways have there.
func (s *endpointSnapshot) hasMemory(tokens int) bool {
	return s.memoryTokens == 0 || s.state.tokens+s.othersTokens+tokens <= s.memoryTokens
}
