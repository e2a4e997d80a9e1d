package upstream

import (
	"iter"
	"strings"
)

// Header is one header field of a request or an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ownPrefix precedes the names of the system's own headers.
const ownPrefix = "mimosaward-"

// perHop are the headers that each hop sets for itself: those of the connection,
// the framing and the body's coding, and those that the system itself carries.
var perHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"host": true, "expect": true, "content-length": true, "content-type": true, "accept-encoding": true,
	"date": true, "server": true, "retry-after": true, "x-request-id": true, "idempotency-key": true,
}

// EndToEnd returns the headers that go on to the next hop, see RFC 9110, section
// 7.6.1.
func EndToEnd(all iter.Seq2[[]byte, []byte]) []Header {
	var kept []Header
	named := map[string]bool{}
	for name, value := range all {
		lower := strings.ToLower(string(name))
		if lower == "connection" {
			for option := range strings.SplitSeq(string(value), ",") {
				named[strings.ToLower(strings.TrimSpace(option))] = true
			}
		}
		if !perHop[lower] && !strings.HasPrefix(lower, ownPrefix) {
			kept = append(kept, Header{Name: string(name), Value: string(value)})
		}
	}
	if len(named) == 0 {
		return kept
	}
	var forwarded []Header
	for _, header := range kept {
		if !named[strings.ToLower(header.Name)] {
			forwarded = append(forwarded, header)
		}
	}
	return forwarded
}
