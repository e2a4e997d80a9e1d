package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// predict returns the time until an engine writes the first event of a job. The job sees
// the rest of the pass in which it arrives and its own first one, in which other
// prompts are read too, and its own prompt is read.
func predict(model *configuration.Engine, running, unread, prompt int, pace float64) time.Duration {
	expected := passesBeforeFirst * (passTime(model, running) + usualReading(model, running))
	expected += readTime(model, prompt).Seconds() + unreadShare*readTime(model, unread).Seconds()
	if over := running + 1 - model.Slots - lateEnds; over > 0 {
		expected += float64(over) * placeTime(model).Seconds()
	}
	return time.Duration(expected * pace * float64(time.Second))
}

// The constants come from a fit of 2,617 first events on days on which every place was
// taken (docs/design/dispatch.md).
const (
	// passesBeforeFirst is the number of passes that a job sees until its first event.
	passesBeforeFirst = 1.6
	// unreadShare is the part of the prompts of others that is still to be read: a
	// prompt counts as unread until its first event has reached its gateway.
	unreadShare = 0.5
	// lateEnds is the number of requests that an engine has ended but whose end has
	// not reached every gateway.
	lateEnds = 1
)

// usualReading returns the seconds of a pass that go into reading the prompts of other
// jobs, if the places are taken by jobs of the usual size.
func usualReading(model *configuration.Engine, running int) float64 {
	passes := float64(model.MeanAnswerTokens)/float64(model.TokensPerEvent) + passesBeforeFirst
	return float64(min(running, model.Slots)) / passes * readTime(model, model.MeanPromptTokens).Seconds()
}

// passTime returns the seconds of a pass without any reading.
func passTime(model *configuration.Engine, running int) float64 {
	batch := min(running+1, model.Slots)
	context := float64(batch*(model.MeanPromptTokens+model.MeanAnswerTokens/2)) / 1000
	step := model.StepTime.Seconds() + float64(batch)*model.TimePerSequence.Seconds() + context*model.TimePerKiloContext.Seconds()
	return float64(model.TokensPerEvent) * step
}

// readTime returns how long an engine reads prompts.
func readTime(model *configuration.Engine, tokens int) time.Duration {
	if model.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / model.PrefillRate * float64(time.Second))
}

// placeTime returns how often a place becomes free at an engine whose places are all
// taken.
func placeTime(model *configuration.Engine) time.Duration {
	if model.Slots == 0 || model.TokensPerEvent == 0 {
		return 0
	}
	passes := float64(model.MeanAnswerTokens)/float64(model.TokensPerEvent) + 1
	reading := readTime(model, model.MeanPromptTokens).Seconds()
	// In the time of one job, each of the places reads about one prompt.
	job := passes*passTime(model, model.Slots) + float64(model.Slots)*reading
	return time.Duration(job / float64(model.Slots) * float64(time.Second))
}
