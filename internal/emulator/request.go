package emulator

// Request is a request to an engine. Set the exported fields before Submit.
type Request struct {
	// PromptTokens and AnswerTokens are the numbers of tokens in the prompt and the answer.
	PromptTokens int
	AnswerTokens int
	// Priority orders queued requests. The highest priority is 0.
	Priority int
	// OnEvent is called with each event of the response. It must not block.
	OnEvent func(event Event)

	pendingPrefill int
	pendingAnswer  int
}

// Event is a part of a streamed response.
type Event struct {
	Tokens int
	// Last is true for the last event of the response.
	Last bool
}
