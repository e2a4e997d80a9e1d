// Package event defines the numbered log events of all programs and the logger that
// writes them. Numbers are never reused. docs/log-events.md lists all events.
package event

import "github.com/sirupsen/logrus"

// Event is a kind of log record.
type Event struct {
	number int
	level  logrus.Level
	text   string
	advice string
}

// Number returns the number that identifies the event.
func (e Event) Number() int { return e.number }

// Level returns the logrus name of the log level.
func (e Event) Level() string { return e.level.String() }

// Text returns the message of the event.
func (e Event) Text() string { return e.text }

// Advice returns the recommended reaction of an operator.
func (e Event) Advice() string { return e.advice }

const noAction = "No action needed."

// Events of all processes.
var (
	ProcessStarted    = Event{1001, logrus.InfoLevel, "process started", noAction}
	DrainStarted      = Event{1002, logrus.InfoLevel, "drain started", "Wait until the requests in flight have finished."}
	DrainEnded        = Event{1003, logrus.InfoLevel, "drain ended", noAction}
	DrainTimedOut     = Event{1004, logrus.WarnLevel, "drain timed out with requests in flight", "Raise drainTimeout if requests take longer."}
	ServerFailed      = Event{1005, logrus.ErrorLevel, "server failed", "Check that the address is free and belongs to this instance."}
	RecordsSuppressed = Event{1007, logrus.InfoLevel, "records of an event suppressed by its rate limit", "The event exceeded its rate limit; its metric has the total count."}
	RecordsDropped    = Event{1008, logrus.WarnLevel, "records dropped because the log queue was full", "The log is incomplete; check the speed of the log output and the processor load of the instance."}
	ProcessStopped    = Event{1009, logrus.InfoLevel, "process stopped", noAction}
	SettingsReloaded  = Event{1010, logrus.InfoLevel, "settings reloaded", noAction}
	SettingsIgnored   = Event{1011, logrus.WarnLevel, "changed settings ignored", "Fix the settings file; the process keeps using the previous settings."}
	AcceptFailed      = Event{1012, logrus.WarnLevel, "connection could not be accepted, will retry", "If this repeats, raise the limit of file descriptors or add instances."}
	CallPanicked      = Event{1013, logrus.ErrorLevel, "call from another process panicked", "Report a bug with the stack in the record; only that call failed."}
	TaskPanicked      = Event{1014, logrus.ErrorLevel, "background task panicked", "Report a bug with the stack in the record; if the task is needed, the process drains and exits."}
	InvariantViolated = Event{1006, logrus.ErrorLevel, "invariant violated", "Report a bug with the log of the instance; the operation was refused."}
)

// Events of ticket distribution.
var (
	TicketsApplied    = Event{2001, logrus.InfoLevel, "tickets applied", noAction}
	StoreUnreachable  = Event{2002, logrus.WarnLevel, "object API unreachable", "Serving continues while a majority of availability zones can reach each other; tickets cannot be filed."}
	StoreReachable    = Event{2003, logrus.InfoLevel, "object API reachable again", noAction}
	ParentChanged     = Event{2004, logrus.DebugLevel, "relay parent changed", noAction}
	FreshnessLost     = Event{2005, logrus.WarnLevel, "configuration is stale, refusing new requests", "Check the connection to the object API and the network between availability zones."}
	FreshnessRestored = Event{2006, logrus.InfoLevel, "configuration is fresh again", noAction}
	TicketUnreadable  = Event{2007, logrus.ErrorLevel, "stored ticket cannot be decoded", "A newer version of the program may have filed it; upgrade this one."}
)

// Events of the configuration in the object store.
var (
	ConfigurationApplied = Event{2101, logrus.InfoLevel, "configuration applied", noAction}
	ObjectUnreadable     = Event{2102, logrus.WarnLevel, "object in the object store cannot be decoded", "The object is ignored; check the program that wrote it."}
	ZoneEvacuated        = Event{2103, logrus.InfoLevel, "availability zone taken out of service", noAction}
	ZoneReturned         = Event{2104, logrus.InfoLevel, "availability zone put back into service", noAction}
	StoreRestored        = Event{2106, logrus.WarnLevel, "object store returned from an older copy of itself", "What was written since that copy is written again by its writers; check that the operators' last changes are in force."}
	CheckpointRead       = Event{2107, logrus.InfoLevel, "checkpoint of the gateways read from the object store", noAction}
	RolloutDated         = Event{2108, logrus.InfoLevel, "rollout may have been requested before it was noticed, taken to be that old", noAction}
	RolloutRequested     = Event{2105, logrus.InfoLevel, "rollout requested by the operators", noAction}
)

// Events between gateways.
var (
	GatewayAlive        = Event{2201, logrus.InfoLevel, "gateway is alive", noAction}
	GatewayUnresponsive = Event{2202, logrus.WarnLevel, "gateway is unresponsive", "Check the instance; callers are no longer directed to it."}
	SnapshotAdopted     = Event{2203, logrus.InfoLevel, "newer snapshot of the object store received from a gateway", "If this repeats, check the connection of this gateway to the object store."}
	SnapshotFailed      = Event{2204, logrus.WarnLevel, "newer snapshot of the object store could not be received", "If this repeats, check the other gateway and the network to it."}
	CopyBehind          = Event{2205, logrus.WarnLevel, "copy of the object store is older than that of another gateway", "Check the connections of this gateway to the object store and to the gateway in the record."}
)

// Events of weight distribution.
var (
	RolloutStarted      = Event{3001, logrus.InfoLevel, "rollout of a weight set started", noAction}
	SetComplete         = Event{3002, logrus.InfoLevel, "weight set complete and verified", noAction}
	ChunkCorrupt        = Event{3003, logrus.WarnLevel, "corrupt chunk received and discarded", "If this repeats for a peer, check the instance that sent the chunk."}
	PeerExcluded        = Event{3004, logrus.WarnLevel, "peer temporarily excluded from chunk downloads", "If this repeats for a peer, check its instance and the network to it."}
	LoadOrdered         = Event{3005, logrus.InfoLevel, "engine ordered to load the weight set", noAction}
	LoadFailed          = Event{3006, logrus.WarnLevel, "engine load failed, will retry", "Check the error in the record and the log of the engine."}
	LoadCompleted       = Event{3007, logrus.InfoLevel, "engine serves the weight set", noAction}
	ManifestFailed      = Event{3008, logrus.WarnLevel, "manifest unavailable, will retry", "Check that the manifest with the ticket's digest was published to the origin."}
	ChunkMemoryTooSmall = Event{3009, logrus.ErrorLevel, "weight set exceeds chunkMemory", "Raise chunkMemory in the agent's settings."}
	SwapWaiting         = Event{3010, logrus.DebugLevel, "swap is waiting for another endpoint of the pool to finish its swap", noAction}
	EngineUnreachable   = Event{3012, logrus.WarnLevel, "engine does not respond to its loader", "If this repeats, check that the engine is running and responsive."}
	EngineReachable     = Event{3013, logrus.InfoLevel, "engine responds to its loader again", noAction}
	GatewaysUnreachable = Event{3014, logrus.WarnLevel, "no requests from gateways, the loader reads the object store itself", "If this repeats, check that gateways are running and can reach the loader."}
	GatewaysReachable   = Event{3015, logrus.InfoLevel, "requests from a gateway received again", noAction}
	FetchFailed         = Event{3016, logrus.WarnLevel, "weight set could not be fetched, will retry", "Check the error in the record; the manifest was received."}
	ManifestReplaced    = Event{3017, logrus.WarnLevel, "manifest replaced during its fetch, since another source has a different one", "If this repeats, check what the origin sends: its manifest and its chunks did not match."}
	OriginFailed        = Event{3018, logrus.WarnLevel, "request to the origin failed; the record counts requests and connections since the last such event", "If many loaders write this, the origin is down or more instances ask it than it accepts."}
	LoadConfirmed       = Event{3019, logrus.InfoLevel, "staged chunks found intact after a load whose order was accepted late or without a response", noAction}
	LoadedCorrupt       = Event{3020, logrus.ErrorLevel, "engine may have loaded corrupt chunks and stays out of service until it restarts or loads a newer version", "Restart the engine, or name a newer version of its weights."}
	RolloutAbandoned    = Event{3011, logrus.InfoLevel, "weight set replaced before it was complete", noAction}
)

// Events of requests.
var (
	EndpointCold       = Event{4001, logrus.WarnLevel, "endpoint is cold, concurrency limit lowered", "Expected after a restart; if this repeats, check the endpoint for slow responses."}
	ResponseMismatched = Event{4002, logrus.WarnLevel, "response does not match the request", "Check the engine; the request was retried or the caller received an explicit error."}
	StreamResumed      = Event{4003, logrus.InfoLevel, "stream resumed on another endpoint", noAction}
	StreamAborted      = Event{4004, logrus.WarnLevel, "stream aborted with an explicit error", "The caller received the error; check the endpoint that served the stream."}
	LoaderUnreachable  = Event{4006, logrus.WarnLevel, "loader of an engine does not respond", "Check the instance; its engine keeps serving the loaded weights."}
	LoaderReachable    = Event{4007, logrus.InfoLevel, "loader of an engine responds again", noAction}
	RequestSent        = Event{4101, logrus.InfoLevel, "request sent to an endpoint", noAction}
	RequestEnded       = Event{4102, logrus.InfoLevel, "request ended", noAction}
	RequestRefused     = Event{4103, logrus.InfoLevel, "request refused", "Check the reason in the record."}
	EndpointLent       = Event{4105, logrus.InfoLevel, "endpoint granted to a request of another gateway", noAction}
	EndpointNotLent    = Event{4106, logrus.InfoLevel, "no endpoint granted to a request of another gateway", "Check the reason in the record."}
	LenderUnreachable  = Event{4107, logrus.WarnLevel, "gateway that grants endpoints does not respond", "If this repeats, check that gateway and the network to it."}
	AttemptFailed      = Event{4104, logrus.WarnLevel, "endpoint failed to serve a request", "If this repeats for an endpoint, check the endpoint and the network to it."}
	CrashSuspected     = Event{4108, logrus.WarnLevel, "connection to an engine broke under a request that it had begun or not yet answered", "If the engine ended, an event of the confirmed end follows; otherwise check the network to the engine."}
	CrashConfirmed     = Event{4109, logrus.WarnLevel, "engine ended under requests", "These requests and their prompt parts are suspected until such a request is answered."}
	PartRejected       = Event{4110, logrus.WarnLevel, "requests with a prompt part or fingerprint are refused because engines ended under them", "Find the prompts with this part, or the request in the records of requests sent; callers get a refusal until the time in the record."}
	PartAdmitted       = Event{4111, logrus.InfoLevel, "requests with a prompt part or fingerprint are admitted again after one was answered", noAction}
	PartTried          = Event{4112, logrus.InfoLevel, "single request with a refused prompt part or fingerprint sent to find out whether engines still end", noAction}
	EndpointAnnounced  = Event{4114, logrus.InfoLevel, "endpoint announced a change of its request limit, or that it is leaving", "If an endpoint keeps a limit, check what it lacks."}
	AttemptWithdrawn   = Event{4116, logrus.InfoLevel, "request withdrawn from an endpoint that had not begun it in time", "If this repeats for an endpoint, check why it is silent."}
	TurnedAway         = Event{4115, logrus.InfoLevel, "endpoint turned this gateway away for a time", "If this repeats for an endpoint, check its load."}
	ProbeFailed        = Event{4132, logrus.InfoLevel, "call to the health path of an endpoint yielded no report of its load", "If this repeats for an endpoint that serves requests, check the service's health path."}
	RequestCut         = Event{4120, logrus.WarnLevel, "request cut off by the exit of the process", "If this repeats, check that the grace period exceeds the time that requests take."}
	ClientLimited      = Event{4121, logrus.WarnLevel, "connection of a client closed because the client reached a limit", "If clients inside the limits reach it, raise the limit in the settings or add instances; otherwise find the client by its address."}
	MemoryGivenUp      = Event{4122, logrus.WarnLevel, "memory for requests and responses used up, the largest or slowest user was given up", "If this repeats without clients outside the limits, raise the memory of the instance or add instances."}
	RequestPanicked    = Event{4113, logrus.ErrorLevel, "request panicked", "Report a bug with the stack in the record; only that request failed."}
	ScarcityBegan      = Event{4130, logrus.InfoLevel, "service has too few places, urgent requests come first", "Add engines if this lasts; the record names the most urgent priority without a place."}
	ScarcityEnded      = Event{4131, logrus.InfoLevel, "service has enough places again", noAction}
	OutcomeUnknown     = Event{4005, logrus.WarnLevel, "outcome of a non-idempotent request is unknown", "The caller received the outcome; the idempotency key stays claimed. Check whether the service executed the request."}
)

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, DrainStarted, DrainEnded, DrainTimedOut, ServerFailed, InvariantViolated, RecordsSuppressed, RecordsDropped, ProcessStopped, SettingsReloaded, SettingsIgnored, AcceptFailed, CallPanicked, TaskPanicked,
		TicketsApplied, StoreUnreachable, StoreReachable, ParentChanged, FreshnessLost, FreshnessRestored, TicketUnreadable,
		ConfigurationApplied, ObjectUnreadable, ZoneEvacuated, ZoneReturned, RolloutRequested, StoreRestored, CheckpointRead, RolloutDated,
		GatewayAlive, GatewayUnresponsive, SnapshotAdopted, SnapshotFailed, CopyBehind,
		RolloutStarted, SetComplete, ChunkCorrupt, PeerExcluded, LoadOrdered, LoadFailed, LoadCompleted, ManifestFailed,
		ChunkMemoryTooSmall, SwapWaiting, RolloutAbandoned, EngineUnreachable, EngineReachable, GatewaysUnreachable, GatewaysReachable, FetchFailed, ManifestReplaced, OriginFailed, LoadConfirmed, LoadedCorrupt,
		EndpointCold, ResponseMismatched, StreamResumed, StreamAborted, OutcomeUnknown, LoaderUnreachable, LoaderReachable, RequestSent, RequestEnded, RequestRefused, AttemptFailed, EndpointLent, EndpointNotLent, LenderUnreachable,
		CrashSuspected, CrashConfirmed, PartRejected, PartAdmitted, PartTried, RequestPanicked, EndpointAnnounced, TurnedAway, AttemptWithdrawn, RequestCut, ClientLimited, MemoryGivenUp, ProbeFailed, ScarcityBegan, ScarcityEnded,
	}
}
