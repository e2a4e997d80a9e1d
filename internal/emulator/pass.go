package emulator

import "time"

// pass is the work that an engine does between two events of its response streams.
type pass struct {
	// prefills are the prompt parts that the pass processes. decoding lists the requests
	// that generate tokens in it.
	prefills []prefill
	decoding []*Request
	steps    int
	duration time.Duration
}

// prefill is the part of a prompt that is processed in a pass.
type prefill struct {
	req    *Request
	tokens int
}

// delivery is an event with the request that it belongs to.
type delivery struct {
	req   *Request
	event Event
}

// startPass fills the batch from the queue and plans the next pass. It returns nil if there
// are no requests.
func (e *Engine) startPass() *pass {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < e.Config.Slots && len(e.queue) > 0 {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.batch) == 0 {
		return nil
	}
	next := &pass{steps: 1}
	contextTokens := 0
	for _, req := range e.batch {
		if req.pendingPrefill == 0 {
			next.decoding = append(next.decoding, req)
			contextTokens += req.PromptTokens + req.AnswerTokens - req.pendingAnswer
		}
	}
	if len(next.decoding) > 0 {
		next.steps = max(1, e.Config.TokensPerEvent)
	}
	prefillTokens, pairs := e.planPrefills(next)
	seconds := float64(next.steps) * e.stepSeconds(len(next.decoding), contextTokens)
	if e.Config.PrefillRate > 0 {
		seconds += float64(prefillTokens) / e.Config.PrefillRate
	}
	seconds += pairs / 1e6 * e.Config.TimePerMegaPair.Seconds()
	next.duration = time.Duration(seconds * e.slowdown * float64(time.Second))
	return next
}

// planPrefills selects the prompt parts that the pass processes. It returns the number of
// their tokens and of the pairs of a token with an earlier one, which determine the cost of
// attention.
func (e *Engine) planPrefills(next *pass) (prefillTokens int, pairs float64) {
	budget := max(1, e.Config.PrefillChunkTokens) * next.steps
	for _, req := range e.batch {
		tokens := min(req.pendingPrefill, budget-prefillTokens)
		if tokens <= 0 {
			continue
		}
		start := req.PromptTokens - req.pendingPrefill
		pairs += float64(tokens) * (float64(start) + float64(tokens)/2)
		prefillTokens += tokens
		next.prefills = append(next.prefills, prefill{req: req, tokens: tokens})
	}
	return prefillTokens, pairs
}

// stepSeconds returns the duration of a step that generates one token for each sequence.
func (e *Engine) stepSeconds(sequences, contextTokens int) float64 {
	return e.Config.StepTime.Seconds() + float64(sequences)*e.Config.TimePerSequence.Seconds() + float64(contextTokens)/1000*e.Config.TimePerKiloContext.Seconds()
}

// finishPass applies the results of a pass and returns its events. A request whose prefill
// is complete generates its first token.
func (e *Engine) finishPass(finished *pass) []delivery {
	e.mu.Lock()
	defer e.mu.Unlock()
	var deliveries []delivery
	for _, req := range finished.decoding {
		deliveries = e.generate(deliveries, req, finished.steps)
	}
	for _, p := range finished.prefills {
		p.req.pendingPrefill -= p.tokens
		if p.req.pendingPrefill == 0 {
			deliveries = e.generate(deliveries, p.req, 1)
		}
	}
	return deliveries
}

// generate adds tokens to the response to a request and appends the event to deliveries. It
// ignores a request that was canceled during the pass.
func (e *Engine) generate(deliveries []delivery, req *Request, tokens int) []delivery {
	index := -1
	for i, other := range e.batch {
		if other == req {
			index = i
		}
	}
	if index < 0 {
		return deliveries
	}
	generated := min(tokens, req.pendingAnswer)
	req.pendingAnswer -= generated
	last := req.pendingAnswer == 0
	if last {
		e.batch = append(e.batch[:index], e.batch[index+1:]...)
	}
	return append(deliveries, delivery{req: req, event: Event{Tokens: generated, Last: last}})
}
