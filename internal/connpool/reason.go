package connpool

// Reason is why a new connection was opened instead of reusing one.
type Reason string

// Reasons for new connections.
const (
	// ReasonNoIdle means that all connections to the address were in use, or there was none.
	ReasonNoIdle Reason = "noIdle"
	// ReasonClosed means that the endpoint closed the idle connection or allowed no reuse.
	ReasonClosed Reason = "closed"
	// ReasonExpired means that the idle connection had reached its idle timeout.
	ReasonExpired Reason = "expired"
	// ReasonAborted means that the last connection was reset during its request.
	ReasonAborted Reason = "aborted"
	// ReasonRequired means that the request needed a connection that carried no other one.
	ReasonRequired Reason = "required"
)
