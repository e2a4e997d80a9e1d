package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// predictLatency returns the time until an engine writes the first event of a job. The job sees
// the rest of the pass in which it arrives and its own first one, in which other
// prompts are read too, and its own prompt is read.
func predictLatency(engineConfig *configuration.Engine, running, pendingPrefill, prompt int, pace float64) time.Duration {
	predicted := passesUntilFirstEvent * (decodePassTime(engineConfig, running) + meanPrefillPerPass(engineConfig, running))
	predicted += prefillTime(engineConfig, prompt).Seconds() + pendingPrefillFraction*prefillTime(engineConfig, pendingPrefill).Seconds()
	if excess := running + 1 - engineConfig.Slots - unreportedCompletions; excess > 0 {
		predicted += float64(excess) * slotReleaseInterval(engineConfig).Seconds()
	}
	return time.Duration(predicted * pace * float64(time.Second))
}

// The constants come from a fit of 2,617 first events on days on which every place was
// taken (docs/design/dispatch.md).
const (
	// passesUntilFirstEvent is the number of passes that a job sees until its first event.
	passesUntilFirstEvent = 1.6
	// pendingPrefillFraction is the part of the prompts of others that is still to be read: a
	// prompt counts as unread until its first event has reached its gateway.
	pendingPrefillFraction = 0.5
	// unreportedCompletions is the number of requests that an engine has ended but whose end has
	// not reached every gateway.
	unreportedCompletions = 1
)

// meanPrefillPerPass returns the seconds of a pass that go into reading the prompts of other
// jobs, if the places are taken by jobs of the usual size.
func meanPrefillPerPass(engineConfig *configuration.Engine, running int) float64 {
	passes := float64(engineConfig.MeanAnswerTokens)/float64(engineConfig.TokensPerEvent) + passesUntilFirstEvent
	return float64(min(running, engineConfig.Slots)) / passes * prefillTime(engineConfig, engineConfig.MeanPromptTokens).Seconds()
}

// decodePassTime returns the seconds of a pass without any reading.
func decodePassTime(engineConfig *configuration.Engine, running int) float64 {
	batch := min(running+1, engineConfig.Slots)
	context := float64(batch*(engineConfig.MeanPromptTokens+engineConfig.MeanAnswerTokens/2)) / 1000
	step := engineConfig.StepTime.Seconds() + float64(batch)*engineConfig.TimePerSequence.Seconds() + context*engineConfig.TimePerKiloContext.Seconds()
	return float64(engineConfig.TokensPerEvent) * step
}

// prefillTime returns how long an engine reads prompts.
func prefillTime(engineConfig *configuration.Engine, tokens int) time.Duration {
	if engineConfig.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / engineConfig.PrefillRate * float64(time.Second))
}

// slotReleaseInterval returns how often a place becomes free at an engine whose places are all
// taken.
func slotReleaseInterval(engineConfig *configuration.Engine) time.Duration {
	if engineConfig.Slots == 0 || engineConfig.TokensPerEvent == 0 {
		return 0
	}
	passes := float64(engineConfig.MeanAnswerTokens)/float64(engineConfig.TokensPerEvent) + 1
	prefill := prefillTime(engineConfig, engineConfig.MeanPromptTokens).Seconds()
	// In the time of one jobDuration, each of the places reads about one prompt.
	jobDuration := passes*decodePassTime(engineConfig, engineConfig.Slots) + float64(engineConfig.Slots)*prefill
	return time.Duration(jobDuration / float64(engineConfig.Slots) * float64(time.Second))
}
