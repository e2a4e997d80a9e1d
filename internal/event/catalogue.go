// Package event owns the numbered log events of every program. Numbers are
// never reused; docs/log-events.md lists them all.
package event

import "github.com/sirupsen/logrus"

// Event is one kind of log record.
type Event struct {
	number int
	level  logrus.Level
	text   string
	advice string
}

// Number returns the stable number of the event.
func (e Event) Number() int { return e.number }

// Level returns the log level as logrus names it.
func (e Event) Level() string { return e.level.String() }

// Text returns the fixed message.
func (e Event) Text() string { return e.text }

// Advice returns what an operator should do about the event.
func (e Event) Advice() string { return e.advice }

const noAction = "Nothing to do."

// Events of every process.
var (
	ProcessStarted   = Event{1001, logrus.InfoLevel, "process started", noAction}
	DrainStarted     = Event{1002, logrus.InfoLevel, "drain started", "Wait; work in flight is finishing."}
	DrainEnded       = Event{1003, logrus.InfoLevel, "drain ended", noAction}
	DrainTimedOut    = Event{1004, logrus.WarnLevel, "drain timed out with work in flight", "Raise drainTimeout if requests take longer than it."}
	ServerFailed     = Event{1005, logrus.ErrorLevel, "server failed", "Check that the address is free and belongs to this instance."}
	RecordsSuppressed  = Event{1007, logrus.InfoLevel, "records of an event summed up", "The event came more often than it is written; its metric has the whole count."}
	RecordsDropped   = Event{1008, logrus.WarnLevel, "records dropped", "The output is too slow, or the process lacks processor time."}
	ProcessStopped   = Event{1009, logrus.InfoLevel, "process stopped", noAction}
	SettingsReloaded = Event{1010, logrus.InfoLevel, "settings reloaded", noAction}
	SettingsIgnored  = Event{1011, logrus.WarnLevel, "changed settings ignored", "Mend the settings file; the process goes on with the ones before."}
	InvariantBroken  = Event{1006, logrus.ErrorLevel, "invariant broken", "Report it with the log of the instance; the work was refused."}
)

// Events of ticket distribution.
var (
	TicketsApplied    = Event{2001, logrus.InfoLevel, "tickets applied", noAction}
	StoreUnreachable  = Event{2002, logrus.WarnLevel, "object API unreachable", "Serving goes on while a majority of availability zones reach each other; tickets cannot be filed."}
	StoreReachable    = Event{2003, logrus.InfoLevel, "object API reachable again", noAction}
	ParentChanged     = Event{2004, logrus.DebugLevel, "relay parent changed", noAction}
	FreshnessLost     = Event{2005, logrus.WarnLevel, "configuration freshness lost, refusing new work", "Check the network between availability zones."}
	FreshnessRestored = Event{2006, logrus.InfoLevel, "configuration freshness regained", noAction}
	TicketUnreadable  = Event{2007, logrus.ErrorLevel, "stored ticket unreadable", "A newer program may have filed it; upgrade this one."}
)

// Events of the configuration in the store.
var (
	ConfigurationApplied = Event{2101, logrus.InfoLevel, "configuration applied", noAction}
	ObjectUnreadable     = Event{2102, logrus.WarnLevel, "object in the store unreadable", "Look at who wrote it; it is left out."}
	ZoneEvacuated        = Event{2103, logrus.InfoLevel, "availability zone taken out of service", noAction}
	ZoneReturned         = Event{2104, logrus.InfoLevel, "availability zone back in service", noAction}
	RolloutRequested         = Event{2105, logrus.InfoLevel, "weights named by the operators", noAction}
)

// Events between gateways.
var (
	GatewayAlive  = Event{2201, logrus.InfoLevel, "gateway is alive", noAction}
	GatewayUnresponsive = Event{2202, logrus.WarnLevel, "gateway is silent", "Look at the instance; callers are no longer sent there."}
	SnapshotAdopted   = Event{2203, logrus.InfoLevel, "newer copy of the store's objects taken from a gateway", "Look at the way to the store if it repeats."}
	SnapshotFailed    = Event{2204, logrus.WarnLevel, "newer copy of the store's objects not received", "Look at the named gateway if it repeats."}
)

// Events of weight distribution.
var (
	RolloutStarted   = Event{3001, logrus.InfoLevel, "weight set wanted", noAction}
	SetComplete      = Event{3002, logrus.InfoLevel, "weight set verified", noAction}
	ChunkCorrupt     = Event{3003, logrus.WarnLevel, "corrupt chunk received and discarded", "Look at the named peer if it repeats."}
	PeerExcluded     = Event{3004, logrus.WarnLevel, "peer excluded for a while", "Look at the named peer if it repeats."}
	LoadOrdered      = Event{3005, logrus.InfoLevel, "engine ordered to load", noAction}
	LoadFailed       = Event{3006, logrus.WarnLevel, "engine load failed, will retry", "Look at the engine's log."}
	LoadCompleted         = Event{3007, logrus.InfoLevel, "engine serves the weight set", noAction}
	ManifestFailed   = Event{3008, logrus.WarnLevel, "manifest not available, will retry", "Check that the ticket's manifest digest was published to the origin."}
	ChunkMemoryTooSmall   = Event{3009, logrus.ErrorLevel, "weight set larger than chunkMemory", "Raise chunkMemory in the agent's settings."}
	SwapWaiting      = Event{3010, logrus.DebugLevel, "swap waits for a predecessor", noAction}
	EngineUnreachable       = Event{3012, logrus.WarnLevel, "engine does not answer its loader", "Look at the engine if it repeats."}
	EngineReachable   = Event{3013, logrus.InfoLevel, "engine answers its loader again", noAction}
	GatewaysUnreachable   = Event{3014, logrus.WarnLevel, "no gateway calls, the loader reads the store itself", "Look at the gateways and the network if it repeats."}
	GatewaysReachable    = Event{3015, logrus.InfoLevel, "a gateway calls again", noAction}
	RolloutAbandoned = Event{3011, logrus.InfoLevel, "weight set replaced before it was complete", noAction}
)

// Events of requests.
var (
	EndpointCold     = Event{4001, logrus.WarnLevel, "endpoint turned cold, limit lowered", "Look at the engine if it repeats."}
	ResponseMismatched = Event{4002, logrus.WarnLevel, "answer did not belong to the request", "Look at the engine; the caller got an explicit error or a retry."}
	StreamResumed    = Event{4003, logrus.InfoLevel, "stream resumed on another endpoint", noAction}
	StreamAborted     = Event{4004, logrus.WarnLevel, "stream ended by an explicit error", "The caller was told; look at the named endpoint."}
	LoaderUnreachable       = Event{4006, logrus.WarnLevel, "loader of an engine does not answer", "Look at the instance; its engine still serves what it holds."}
	LoaderReachable   = Event{4007, logrus.InfoLevel, "loader of an engine answers again", noAction}
	RequestSent      = Event{4101, logrus.InfoLevel, "request sent to an endpoint", noAction}
	RequestEnded     = Event{4102, logrus.InfoLevel, "request ended", noAction}
	RequestRefused   = Event{4103, logrus.InfoLevel, "request refused", "Look at the reason; docs/OPERATIONS.md tells how to go on from it."}
	AttemptFailed    = Event{4104, logrus.WarnLevel, "endpoint did not answer a request as it should", "Look at the endpoint if it repeats."}
	OutcomeUnknown      = Event{4005, logrus.WarnLevel, "outcome of a non-idempotent call is unknown", "The caller was told; the key stays used."}
)

// Catalogue returns every event in order of its number.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, DrainStarted, DrainEnded, DrainTimedOut, ServerFailed, InvariantBroken, RecordsSuppressed, RecordsDropped, ProcessStopped, SettingsReloaded, SettingsIgnored,
		TicketsApplied, StoreUnreachable, StoreReachable, ParentChanged, FreshnessLost, FreshnessRestored, TicketUnreadable,
		ConfigurationApplied, ObjectUnreadable, ZoneEvacuated, ZoneReturned, RolloutRequested,
		GatewayAlive, GatewayUnresponsive, SnapshotAdopted, SnapshotFailed,
		RolloutStarted, SetComplete, ChunkCorrupt, PeerExcluded, LoadOrdered, LoadFailed, LoadCompleted, ManifestFailed,
		ChunkMemoryTooSmall, SwapWaiting, RolloutAbandoned, EngineUnreachable, EngineReachable, GatewaysUnreachable, GatewaysReachable,
		EndpointCold, ResponseMismatched, StreamResumed, StreamAborted, OutcomeUnknown, LoaderUnreachable, LoaderReachable, RequestSent, RequestEnded, RequestRefused, AttemptFailed,
	}
}
