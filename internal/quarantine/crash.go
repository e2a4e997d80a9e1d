package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Crash is the end of an endpoint start while it processed requests.
type Crash struct {
	Endpoint    string
	Incarnation int64
	// Age is the time since the crash.
	Age time.Duration
	// Parts are the suspected prompt parts and fingerprints. Cleared are those with which a request was
	// answered since.
	Parts   []string
	Cleared []string
	// Proven are the suspected ones with which a request was answered in the time before.
	Proven []string
	// Reporter names the first gateway that reported the crash.
	Reporter string
}

// crashKey identifies an endpoint start.
type crashKey struct {
	endpoint    string
	incarnation int64
}

// crash is a known crash. Parts maps each part to whether it was cleared; a cleared part
// stays cleared, so that gateways agree in whichever order they learn of it.
type crash struct {
	at time.Time
	// changedAt is when this gateway last learned something about the crash.
	changedAt time.Time
	reporter  string
	parts     map[string]bool
	// proven holds the parts with which a request was answered within provenWindow before the
	// crash, at any gateway. Like parts, it only grows.
	proven map[string]bool
	// requests is the number of parts that are fingerprints.
	requests int
}

// suspect adds a part and reports whether it was unknown.
func (c *crash) suspect(part string) bool {
	if _, known := c.parts[part]; known {
		return false
	}
	switch {
	case isRequest(part) && c.requests < maxRequestsPerCrash:
		c.requests++
	case !isRequest(part) && len(c.parts)-c.requests < maxPartsPerCrash:
	default:
		return false
	}
	c.parts[strings.Clone(part)] = false
	return true
}

// clear clears a part and reports whether it was suspected.
func (c *crash) clear(part string) bool {
	if cleared, known := c.parts[part]; !known || cleared {
		return false
	}
	c.parts[part] = true
	return true
}

// prove marks a part as one that engines had answered before, and reports whether that was
// unknown.
func (c *crash) prove(part string) bool {
	if _, suspected := c.parts[part]; !suspected || c.proven[part] {
		return false
	}
	c.proven[strings.Clone(part)] = true
	return true
}

func (c *crash) describe(key crashKey, now time.Time) Crash {
	described := Crash{Endpoint: key.endpoint, Incarnation: key.incarnation, Age: now.Sub(c.at), Reporter: c.reporter}
	for part, cleared := range c.parts {
		if cleared {
			described.Cleared = append(described.Cleared, part)
		} else {
			described.Parts = append(described.Parts, part)
		}
		if c.proven[part] {
			described.Proven = append(described.Proven, part)
		}
	}
	slices.Sort(described.Parts)
	slices.Sort(described.Cleared)
	slices.Sort(described.Proven)
	return described
}
