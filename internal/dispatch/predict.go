package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// predict returns the time until an engine writes the first event of a job: the
// prompts that wait there are read, the job's own, and the batch goes on writing
// meanwhile.
func predict(model *configuration.Engine, running, unread, prompt int, pace float64) time.Duration {
	pass := passTime(model, running)
	reading := readTime(model, unread+prompt)
	expected := passesBeforeFirst*pass + reading.Seconds()
	if over := running + 1 - model.Slots; over > 0 {
		expected += float64(over) * placeTime(model).Seconds()
	}
	return time.Duration(expected * pace * float64(time.Second))
}

// passesBeforeFirst is the number of passes that a job sees until its first event,
// besides the reading: the rest of the one in which it arrives, and its own first.
const passesBeforeFirst = 1.5

// passTime returns the seconds of a pass without any reading.
func passTime(model *configuration.Engine, running int) float64 {
	batch := min(running+1, model.Slots)
	context := float64(batch*(model.UsualPrompt+model.UsualAnswer/2)) / 1000
	step := model.StepTime.Seconds() + float64(batch)*model.PerSequence.Seconds() + context*model.PerKiloContext.Seconds()
	return float64(model.Stride) * step
}

// readTime returns how long an engine reads prompts.
func readTime(model *configuration.Engine, tokens int) time.Duration {
	if model.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / model.ReadRate * float64(time.Second))
}

// placeTime returns how often a place becomes free at an engine whose places are all
// taken.
func placeTime(model *configuration.Engine) time.Duration {
	if model.Slots == 0 || model.Stride == 0 {
		return 0
	}
	passes := float64(model.UsualAnswer)/float64(model.Stride) + 1
	reading := readTime(model, model.UsualPrompt).Seconds()
	// In the time of one job, each of the places reads about one prompt.
	job := passes*passTime(model, model.Slots) + float64(model.Slots)*reading
	return time.Duration(job / float64(model.Slots) * float64(time.Second))
}
