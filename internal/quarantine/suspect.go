package quarantine

import "strings"

// RequestPrefix begins the fingerprint of a request. No ID of a prompt part contains a colon.
const RequestPrefix = "request:"

// isRequest reports whether a suspect is the fingerprint of a request.
func isRequest(suspect string) bool { return strings.HasPrefix(suspect, RequestPrefix) }
