// Package clientrequest describes client requests: the requested resource and inference,
// and the client's timeout. It only defines data types; package platform parses them from
// HTTP headers.
package clientrequest

import "time"

// Request is one attempt of a client request. Each attempt has its own ID.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as the client sent it.
	Target string
	// Path is the target without the query.
	Path string
	// APIKey identifies the client's workspace.
	APIKey string
	// Timeout is how long the client waits for the response; 0 means that it sent no
	// timeout.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the client received of a stream that it
	// resumes; empty for a new stream.
	LastEventID string
	Inference   Inference
}

// Inference describes the model inference that a request asks for.
type Inference struct {
	Model string
	// PromptTokens is the number of tokens in the prompt. MaxOutputTokens is the maximum
	// number of tokens to generate.
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the client's estimate of the number of tokens that will be
	// generated; 0 means none.
	ExpectedOutputTokens int
	// SharedPrefixID identifies the last part of the prompt that is shared with other
	// requests, such as a session or a subject; empty means none.
	SharedPrefixID string
	// SharedParts holds the IDs of the first parts of the prompt, without the last part,
	// which only this request or its session has.
	SharedParts []string
	// Prompt lists all parts of the prompt, as the client sent it; empty if it sent none.
	Prompt string
}
