package capacity

// Size describes the size and load of an installation.
type Size struct {
	Name              string
	Entries           float64
	Workers           float64
	Zones             float64
	Regions           float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	BurstInstances    float64
	TicketsPerDay     float64
	RestartsPerDay    float64
	InstancesPerRack  float64
	ReadersPerZone    float64
	ScopesPerMember   float64
	// KeyedCallsPerSecond is the number of calls per second with an idempotency
	// key. The users' requirements give no number, so one in 91 requests is assumed.
	KeyedCallsPerSecond float64
}

// Processes returns the number of entries and workers.
func (s Size) Processes() float64 { return s.Entries + s.Workers }

// PlannedSize returns the size to design for, from the users' requirements. A
// rack has 40 instances. Scopes are the pools, zones, endpoints and workspaces
// that tickets name.
func PlannedSize() Size {
	return Size{
		Name: "planned", Entries: 2200, Workers: 12000, Zones: 8, Regions: 4, RequestsPerSecond: 91000, TokensPerSecond: 21e6,
		BurstInstances: 440, TicketsPerDay: 38000, RestartsPerDay: 1300, InstancesPerRack: 40, ReadersPerZone: 2, ScopesPerMember: 4000, KeyedCallsPerSecond: 1000,
	}
}

// CurrentSize returns the current size. The users' requirements give no request
// rate for it.
func CurrentSize() Size {
	return Size{
		Name: "today", Entries: 4, Workers: 15, Zones: 3, Regions: 3, BurstInstances: 12, TicketsPerDay: 100, RestartsPerDay: 2,
		InstancesPerRack: 4, ReadersPerZone: 2, ScopesPerMember: 40,
	}
}

// The budget of a process for control, from the users' requirements.
const (
	budgetBytesPerSecond       = 3 << 10
	budgetMemoryBytes          = 32 << 20
	budgetCoreShare            = 0.02
	budgetStoreReadsPerSecond  = 2000
	budgetStoreWritesPerSecond = 400
	budgetTicketSeconds        = 10
)
