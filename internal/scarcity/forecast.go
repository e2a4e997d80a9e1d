package scarcity

import "time"

const (
	// Margin is how long a late job waits beyond its predicted start. It is the time that jobs
	// on time may be queued for an engine.
	Margin = 150 * time.Millisecond
	// minStartRate is the rate, per second, below which the recent starts of late jobs say
	// nothing about the next one.
	minStartRate = 0.1
	// minResponsePart is the part of a job's remaining time that must be left for the response
	// after the predicted start, as a divisor.
	minResponsePart = 2
)

// Forecast is what is known about the next starts of late jobs of a service.
type Forecast struct {
	// Outage is true if no engine may serve, or most are about to serve again. ReadyKnown is true
	// if it is known that engines will after ReadyIn.
	Outage     bool
	ReadyKnown bool
	ReadyIn    time.Duration
	// Places is the number of places that are free for late jobs now or once engines are ready.
	// One of them is taken every StartInterval.
	Places        int
	StartInterval time.Duration
	// StartRate is the number of late jobs per second that are started when these places are
	// taken.
	StartRate float64
}

// Start returns the predicted time until the late job at a position, which counts from 1, is
// started. It returns false if that is unknown.
func (f Forecast) Start(position int) (time.Duration, bool) {
	ready := time.Duration(0)
	if f.Outage {
		if !f.ReadyKnown {
			return 0, false
		}
		ready = f.ReadyIn
	}
	start := ready + time.Duration(min(position, f.Places))*f.StartInterval
	if position <= f.Places {
		return start, true
	}
	queue, known := f.startAt(position - f.Places)
	return start + queue, known
}

func (f Forecast) startAt(position int) (time.Duration, bool) {
	if f.StartRate < minStartRate {
		return 0, false
	}
	return time.Duration(float64(position) / f.StartRate * float64(time.Second)), true
}

// MaxWait returns how long the late job at a position may wait for a place, given the time left
// until its deadline and the expected time of its response; 0 means that it is refused at once.
// While engines serve but no late job was started recently, a job may wait for Margin, so that
// such starts are noticed.
func (f Forecast) MaxWait(position int, remaining, response time.Duration) time.Duration {
	start, known := f.Start(position)
	if !known {
		if f.Outage {
			return 0
		}
		start = 0
	}
	latest := remaining - max(response, remaining/minResponsePart)
	if start > latest {
		return 0
	}
	return min(start+Margin, remaining)
}
