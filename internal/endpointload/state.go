package endpointload

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the time in which what a report says about the speed halves. Speeds of
	// endpoints change every 600 ms or so, so an older report is right about as often as wrong.
	speedHalfLife = 300 * time.Millisecond
	// speedMaxAge is the age from which a report says nothing about the speed: less than 1% of it
	// is left.
	speedMaxAge = 7 * speedHalfLife
	// countsMaxAge is the age from which the reported numbers of requests say nothing.
	countsMaxAge = time.Second
	// minSlowness bounds the speed from above, so that an endpoint does not attract all calls by
	// what it reports.
	minSlowness = 0.5
	// ShareAge is the age up to which a report is passed on to other gateways.
	ShareAge = 500 * time.Millisecond
)

// State is the last report of one endpoint. The zero value is an endpoint without reports. It
// is not safe for concurrent use.
type State struct {
	report Report
	// reportedAt is when the endpoint sent the report, speedAt when it last reported its speed.
	reportedAt time.Time
	speedAt    time.Time
	// unknown is the number of requests that the report counts beyond those that the gateway
	// knew of. It is negative if the gateway overestimated them.
	unknown int
	// unusualAt is when the endpoint last reported a speed other than the usual one.
	unusualAt time.Time
	// received is true if the report came with a response to this gateway.
	received bool
}

// Record records a report that the endpoint sent at a time, unless a later one is known. known is
// the number of requests that the gateway knew to be at the endpoint. received is true if the
// report came with a response to this gateway, false if another gateway passed it on.
func (s *State) Record(report Report, at time.Time, known int, received bool) {
	if !at.After(s.reportedAt) {
		return
	}
	if report.Percent == 0 {
		report.Percent = s.report.Percent
	} else {
		s.speedAt = at
	}
	s.report, s.reportedAt, s.received = report, at, received
	s.unknown = report.Running + report.Waiting - known
	if report.Percent != UsualPercent {
		s.unusualAt = s.speedAt
	}
}

// ReportsSpeed reports whether the endpoint has reported its speed.
func (s *State) ReportsSpeed() bool { return !s.speedAt.IsZero() }

// ReportedAt returns when the endpoint sent the last report, the zero time if there is none.
func (s *State) ReportedAt() time.Time { return s.reportedAt }

// Slowness returns the factor by which work takes longer than usual. It returns to 1 as the
// report ages.
func (s *State) Slowness(now time.Time) float64 {
	age := max(0, now.Sub(s.speedAt))
	if s.report.Percent == UsualPercent || s.speedAt.IsZero() || age >= speedMaxAge {
		return 1
	}
	reported := max(minSlowness, float64(s.report.Percent)/UsualPercent)
	return 1 + (reported-1)*math.Exp2(-age.Seconds()/speedHalfLife.Seconds())
}

// UnknownRequests returns the number of requests at the endpoint beyond those that the gateway
// knows of. It returns to 0 as the report ages, and is negative if the gateway overestimates them.
func (s *State) UnknownRequests(now time.Time) float64 {
	age := max(0, now.Sub(s.reportedAt))
	if s.reportedAt.IsZero() || age >= countsMaxAge {
		return 0
	}
	return float64(s.unknown) * (1 - age.Seconds()/countsMaxAge.Seconds())
}

// Shared returns the report with its age, and false if this gateway does not pass it on: others
// have a later one, or it is too old, or the endpoint does not report its speed.
func (s *State) Shared(now time.Time) (Report, time.Duration, bool) {
	age := now.Sub(s.reportedAt)
	return s.report, age, s.received && s.ReportsSpeed() && age <= ShareAge
}

// RecentlyUnusual reports whether the endpoint has an unusual speed, or had one so recently that
// other gateways may not know yet that it has ended.
func (s *State) RecentlyUnusual(now time.Time) bool {
	return !s.unusualAt.IsZero() && now.Sub(s.unusualAt) <= ShareAge
}
