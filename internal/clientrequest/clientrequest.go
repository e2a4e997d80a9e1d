// Package clientrequest describes one attempt of a client's request: what it asks for
// and how long the client waits. It only holds values; package platform reads them.
package clientrequest

import "time"

// Request is one attempt of a caller. Each attempt has its own ID.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Path is the target without the query.
	Path string
	// APIKey is what the caller identifies its workspace with.
	APIKey string
	// Timeout is how long the caller waits; 0 means that it did not say.
	Timeout time.Duration
	// LastEventID is the last event that the caller holds of a stream that it
	// resumes; empty for a new one.
	LastEventID string
	Inference   Inference
}

// Inference is what a call of a model asks for.
type Inference struct {
	Model string
	// PromptTokens is the size of the prompt, MaxAnswer the most tokens of the answer.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's guess of the answer's tokens; 0 means none.
	ExpectedOutputTokens int
	// SharedPrefixID identifies the last part of the prompt that calls share: a session
	// or a subject; empty means none.
	SharedPrefixID string
}
