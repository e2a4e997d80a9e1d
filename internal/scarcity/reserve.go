package scarcity

import "hash/fnv"

const (
	// exemptBits selects one job in 1<<exemptBits. A quarter of each rank competes with the
	// most urgent jobs, because each rank must be served at least at a quarter of the overall
	// share.
	exemptBits = 2
	// hashMultiplier spreads the differences of similar IDs to the upper bits (Fibonacci
	// hashing).
	hashMultiplier = 0x9E3779B97F4A7C15
	// maxReservedPart is the part of an engine's slots that ranks may reserve at most, as a
	// divisor, so that many ranks do not leave an engine idle.
	maxReservedPart = 2
)

// Exempt reports whether a job competes at the highest rank whatever its own. All gateways agree
// on it, because it depends only on the ID of the job.
func Exempt(jobID string) bool {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(jobID))
	return hash.Sum64()*hashMultiplier>>(64-exemptBits) == 0
}

// Reserve returns the number of an engine's places that a job of a rank leaves to more urgent
// jobs, given the most urgent rank that recently lacked places.
func Reserve(rank, shortRank, slots int) int {
	return max(0, min(rank-shortRank, slots/maxReservedPart))
}
