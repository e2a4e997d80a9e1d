package endpointload

import "time"

const (
	// callWeight is the weight of one call in the mean duration.
	callWeight = 0.05
	// initialDuration is the assumed duration before the first call has ended. It scales the
	// predictions of all endpoints alike, so it does not affect the choice.
	initialDuration = 20 * time.Millisecond
)

// CallDuration is a moving average of the time that calls to a service take at an idle endpoint
// of the usual speed. The zero value has no calls.
type CallDuration struct {
	mean time.Duration
}

// Record records a call. factor is how much longer it was predicted to take than at an idle
// endpoint of the usual speed.
func (c *CallDuration) Record(duration time.Duration, factor float64) {
	if factor <= 0 {
		return
	}
	sample := time.Duration(float64(duration) / factor)
	if c.mean == 0 {
		c.mean = sample
		return
	}
	c.mean += time.Duration(callWeight * float64(sample-c.mean))
}

// Predict returns the predicted duration of a call that takes a factor longer than at an idle
// endpoint of the usual speed.
func (c *CallDuration) Predict(factor float64) time.Duration {
	mean := c.mean
	if mean == 0 {
		mean = initialDuration
	}
	return time.Duration(float64(mean) * factor)
}

// CallFactor returns how much longer a call takes than at an idle endpoint of the usual speed, at
// an endpoint with the given number of places taken and slots.
func CallFactor(taken float64, slots int, slowness float64) float64 {
	return (max(0, taken)/float64(max(1, slots)) + 1) * slowness
}
