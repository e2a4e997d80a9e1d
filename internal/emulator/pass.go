package emulator

import "time"

// pass is the work that an engine does between two events of its streams.
type pass struct {
	// readers get a part of their prompts read, writers write tokens.
	readers  []reading
	writers  []*Request
	steps    int
	duration time.Duration
}

// reading is the part of a prompt that is read in a pass.
type reading struct {
	work   *Request
	tokens int
}

// notice is an event and the request that it belongs to.
type notice struct {
	work  *Request
	event Event
}

// begin fills the batch and plans the next pass, nil if there is nothing to do.
func (e *Engine) begin() *pass {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < e.Model.Slots && len(e.waiting) > 0 {
		e.batch = append(e.batch, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.batch) == 0 {
		return nil
	}
	next := &pass{steps: 1}
	context := 0
	for _, work := range e.batch {
		if work.unread == 0 {
			next.writers = append(next.writers, work)
			context += work.Prompt + work.Answer - work.unwritten
		}
	}
	if len(next.writers) > 0 {
		next.steps = max(1, e.Model.TokensPerEvent)
	}
	read, pairs := e.planReading(next)
	seconds := float64(next.steps) * e.stepSeconds(len(next.writers), context)
	if e.Model.PrefillRate > 0 {
		seconds += float64(read) / e.Model.PrefillRate
	}
	seconds += pairs / 1e6 * e.Model.TimePerMegaPair.Seconds()
	next.duration = time.Duration(seconds * e.pace * float64(time.Second))
	return next
}

// planReading chooses the parts of prompts that the pass reads, and returns their tokens
// and the pairs of a token with an earlier one.
func (e *Engine) planReading(next *pass) (read int, pairs float64) {
	budget := max(1, e.Model.PrefillChunkTokens) * next.steps
	for _, work := range e.batch {
		tokens := min(work.unread, budget-read)
		if tokens <= 0 {
			continue
		}
		done := work.Prompt - work.unread
		pairs += float64(tokens) * (float64(done) + float64(tokens)/2)
		read += tokens
		next.readers = append(next.readers, reading{work: work, tokens: tokens})
	}
	return read, pairs
}

// stepSeconds returns how long a step takes that writes a token for each writer.
func (e *Engine) stepSeconds(writers, context int) float64 {
	return e.Model.StepTime.Seconds() + float64(writers)*e.Model.TimePerSequence.Seconds() + float64(context)/1000*e.Model.TimePerKiloContext.Seconds()
}

// end does what the pass was planned for and returns the events that came of it. A prompt
// that was read whole yields its first token.
func (e *Engine) end(done *pass) []notice {
	e.mu.Lock()
	defer e.mu.Unlock()
	var notices []notice
	for _, writer := range done.writers {
		notices = e.write(notices, writer, done.steps)
	}
	for _, part := range done.readers {
		part.work.unread -= part.tokens
		if part.work.unread == 0 {
			notices = e.write(notices, part.work, 1)
		}
	}
	return notices
}

// write adds the tokens to an answer. A request that was cancelled meanwhile gets none.
func (e *Engine) write(notices []notice, work *Request, tokens int) []notice {
	place := -1
	for index, held := range e.batch {
		if held == work {
			place = index
		}
	}
	if place < 0 {
		return notices
	}
	written := min(tokens, work.unwritten)
	work.unwritten -= written
	last := work.unwritten == 0
	if last {
		e.batch = append(e.batch[:place], e.batch[place+1:]...)
	}
	return append(notices, notice{work: work, event: Event{Tokens: written, Last: last}})
}
