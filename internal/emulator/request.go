package emulator

// Request is one request. Set the exported fields before it is submitted.
type Request struct {
	// Prompt and Answer are the numbers of tokens.
	Prompt int
	Answer int
	// Priority is from 0, the first.
	Priority int
	// OnEvent is called with each event of the answer. It must not block.
	OnEvent func(event Event)

	pendingPrefill int
	pendingAnswer  int
}

// Event is a part of an answer.
type Event struct {
	Tokens int
	// Last is true for the last event of the answer.
	Last bool
}
