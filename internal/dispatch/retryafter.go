package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/scarcity"
)

const (
	// noEndpointRetryAfter is the retry delay if no endpoint may take a request and it is not
	// known when one will: about the time in which a restarted engine loads its weights.
	noEndpointRetryAfter = time.Second
	// overloadedRetryAfter is the longest retry delay if all endpoints are full, and that of
	// plain services. minOverloadedRetryAfter is the shortest one of services with engines.
	overloadedRetryAfter    = 2 * time.Second
	minOverloadedRetryAfter = time.Second
	// readySpread is the time after engines are expected to be ready over which the returns of
	// callers are spread.
	readySpread = time.Second
	// minReadyRetryAfter and maxReadyRetryAfter bound the retry delay if it is known when
	// engines will be ready: the report may be old, and may become wrong.
	minReadyRetryAfter = 500 * time.Millisecond
	maxReadyRetryAfter = 5 * time.Second
)

// retryAfter returns the retry delay of a refused job for an engine. Only a job on time counts as
// a return that is promised, because callers return once.
func (d *Dispatcher) retryAfter(service *serviceState, queued *queuedJob, forecast scarcity.Forecast, now time.Time) time.Duration {
	if queued.standing.late {
		if start, known := forecast.Start(len(service.late) + 1); known {
			return max(minReadyRetryAfter, min(start, maxReadyRetryAfter))
		}
		if forecast.Outage {
			return noEndpointRetryAfter
		}
		return overloadedRetryAfter
	}
	switch {
	case !forecast.Outage:
		return service.returns.Promise(now, minOverloadedRetryAfter, overloadedRetryAfter, forecast.StartRate)
	case forecast.ReadyKnown:
		earliest := max(minReadyRetryAfter, min(forecast.ReadyIn, maxReadyRetryAfter))
		return service.returns.Promise(now, earliest, min(earliest+readySpread, maxReadyRetryAfter), forecast.StartRate)
	default:
		return noEndpointRetryAfter
	}
}

// refuseUnservable refuses a job that no endpoint may take soon.
func (d *Dispatcher) refuseUnservable(service *serviceState, queued *queuedJob, found selection, config *configuration.Service, now time.Time) {
	refusal := found.refusal()
	if refusal.Reason == NoEndpoint && config != nil && config.Engine != nil {
		forecast, _ := d.forecast(service, queued.job, found, config, now)
		refusal.RetryAfter = d.retryAfter(service, queued, forecast, now)
	}
	queued.refuse(refusal)
}

// overloaded returns the refusal of a job for which all endpoints are full.
func (d *Dispatcher) overloaded(service *serviceState, queued *queuedJob, now time.Time) Refusal {
	refusal := Refusal{Reason: Overloaded, RetryAfter: overloadedRetryAfter}
	if queued.job.Model != "" {
		refusal.RetryAfter = d.retryAfter(service, queued, scarcity.Forecast{StartRate: service.lateStarts.rate(now)}, now)
	}
	return refusal
}
