package upstream

import (
	"iter"
	"strings"
)

// Header is a header field of a request or a response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// internalPrefix is the prefix of the names of the system's internal headers.
const internalPrefix = "mimosaward-"

// notForwarded holds the headers that each hop sets itself instead of forwarding them:
// those of the connection, the framing and the encoding of the body, and those that
// the system handles itself.
var notForwarded = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "proxy-connection": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"host": true, "expect": true, "content-length": true, "content-type": true, "accept-encoding": true,
	"date": true, "server": true, "retry-after": true, "x-request-id": true, "idempotency-key": true,
}

// EndToEnd returns the headers that are forwarded to the next hop: all except those that
// apply to one hop, see RFC 9110, section 7.6.1, and the system's internal headers.
func EndToEnd(all iter.Seq2[[]byte, []byte]) []Header {
	var headers []Header
	connectionOptions := map[string]bool{}
	for name, value := range all {
		lower := strings.ToLower(string(name))
		if lower == "connection" {
			for option := range strings.SplitSeq(string(value), ",") {
				connectionOptions[strings.ToLower(strings.TrimSpace(option))] = true
			}
		}
		if !notForwarded[lower] && !strings.HasPrefix(lower, internalPrefix) {
			headers = append(headers, Header{Name: string(name), Value: string(value)})
		}
	}
	if len(connectionOptions) == 0 {
		return headers
	}
	var endToEnd []Header
	for _, header := range headers {
		if !connectionOptions[strings.ToLower(header.Name)] {
			endToEnd = append(endToEnd, header)
		}
	}
	return endToEnd
}
