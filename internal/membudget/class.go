package membudget

// Class is a kind of use of memory.
type Class int

// Classes of users.
const (
	// Endpoint is for what was read from an endpoint and not yet passed on completely: buffered
	// responses and events.
	Endpoint Class = iota
	// RequestBody is for bodies of requests.
	RequestBody
	// Connection is for the buffers of connections.
	Connection
	// Message is for calls from other processes.
	Message

	// ClassCount is the number of classes.
	ClassCount
)

// String returns the class's name in metrics and log records.
func (c Class) String() string {
	switch c {
	case Endpoint:
		return "endpoint"
	case RequestBody:
		return "requestBody"
	case Connection:
		return "connection"
	case Message:
		return "message"
	default:
		return "unknown"
	}
}
