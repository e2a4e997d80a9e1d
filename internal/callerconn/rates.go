package callerconn

import "time"

// BodyRate bounds the time in which the body of a request must arrive.
type BodyRate struct {
	// Grace is the time that any body has, to which each byte adds its time at MinRate, in bytes
	// per second, up to Max.
	Grace   time.Duration
	MinRate int
	Max     time.Duration
}

// DefaultBodyRate leaves clients that send a body within two seconds a multiple of that time.
var DefaultBodyRate = BodyRate{Grace: 5 * time.Second, MinRate: 64 << 10, Max: 10 * time.Second}

// BodyRateOf returns the rate for the time that a body has at most, or the default one for 0.
func BodyRateOf(longest time.Duration) BodyRate {
	if longest <= 0 {
		return DefaultBodyRate
	}
	return BodyRate{Grace: longest / 2, MinRate: DefaultBodyRate.MinRate, Max: longest}
}

// UnreadRateOf returns the rate for a time, or the default one for 0.
func UnreadRateOf(unread time.Duration) UnreadRate {
	if unread <= 0 {
		return DefaultUnreadRate
	}
	return UnreadRate{Time: unread, MinBytes: DefaultUnreadRate.MinBytes}
}

// limit returns the time that a body has if a number of bytes has arrived.
func (r *BodyRate) limit(received int) time.Duration {
	return min(r.Max, r.Grace+time.Duration(received)*time.Second/time.Duration(max(1, r.MinRate)))
}

// UnreadRate bounds the time in which too little of a response is read: while the connection is
// full for Time altogether, at least MinBytes must be read.
type UnreadRate struct {
	Time     time.Duration
	MinBytes int
}

// DefaultUnreadRate closes the connections of clients that read less than 6.4 KiB/s while they
// have something to read. Pauses without anything to send do not count.
var DefaultUnreadRate = UnreadRate{Time: 10 * time.Second, MinBytes: 64 << 10}
