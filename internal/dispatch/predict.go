package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// predictLatency returns the time until an engine writes the first event of a job. It
// covers the rest of the pass in which the job arrives and the job's own first pass, both
// including the prefill of other prompts, and the prefill of the job's own prompt.
func predictLatency(engineConfig *configuration.Engine, running, pendingPrefill, prompt int, pace float64) time.Duration {
	predicted := passesUntilFirstEvent * (decodePassTime(engineConfig, running) + meanPrefillPerPass(engineConfig, running))
	predicted += prefillTime(engineConfig, prompt).Seconds() + pendingPrefillFraction*prefillTime(engineConfig, pendingPrefill).Seconds()
	if excess := running + 1 - engineConfig.Slots - unreportedCompletions; excess > 0 {
		predicted += float64(excess) * slotReleaseInterval(engineConfig).Seconds()
	}
	return time.Duration(predicted * pace * float64(time.Second))
}

// These constants were fitted to 2,617 first events, measured on days on which every slot
// was taken.
const (
	// passesUntilFirstEvent is the number of passes until a job's first event.
	passesUntilFirstEvent = 1.6
	// pendingPrefillFraction is the fraction of the pending prefill of other requests
	// that the engine has not processed yet. It is below 1 because a prompt counts as
	// pending until its first event reaches its gateway.
	pendingPrefillFraction = 0.5
	// unreportedCompletions is the number of requests that an engine has completed but
	// whose completion has not reached every gateway.
	unreportedCompletions = 1
)

// meanPrefillPerPass returns the seconds of a pass spent on the prefill of other jobs if
// jobs of mean size take the slots.
func meanPrefillPerPass(engineConfig *configuration.Engine, running int) float64 {
	passes := float64(engineConfig.MeanResponseTokens)/float64(engineConfig.TokensPerEvent) + passesUntilFirstEvent
	return float64(min(running, engineConfig.Slots)) / passes * prefillTime(engineConfig, engineConfig.MeanPromptTokens).Seconds()
}

// decodePassTime returns the seconds of a pass without prefill.
func decodePassTime(engineConfig *configuration.Engine, running int) float64 {
	batch := min(running+1, engineConfig.Slots)
	context := float64(batch*(engineConfig.MeanPromptTokens+engineConfig.MeanResponseTokens/2)) / 1000
	step := engineConfig.StepTime.Seconds() + float64(batch)*engineConfig.TimePerSequence.Seconds() + context*engineConfig.TimePerKiloContext.Seconds()
	return float64(engineConfig.TokensPerEvent) * step
}

// prefillTime returns how long an engine takes to process a number of prompt tokens.
func prefillTime(engineConfig *configuration.Engine, tokens int) time.Duration {
	if engineConfig.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / engineConfig.PrefillRate * float64(time.Second))
}

// slotReleaseInterval returns the mean time between releases of a slot at an engine whose
// slots are all taken.
func slotReleaseInterval(engineConfig *configuration.Engine) time.Duration {
	if engineConfig.Slots == 0 || engineConfig.TokensPerEvent == 0 {
		return 0
	}
	passes := float64(engineConfig.MeanResponseTokens)/float64(engineConfig.TokensPerEvent) + 1
	prefill := prefillTime(engineConfig, engineConfig.MeanPromptTokens).Seconds()
	// During one job, about one prompt is prefilled in each of the slots.
	jobDuration := passes*decodePassTime(engineConfig, engineConfig.Slots) + float64(engineConfig.Slots)*prefill
	return time.Duration(jobDuration / float64(engineConfig.Slots) * float64(time.Second))
}
