package capacity

// Size is the size of an installation.
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
	// KeyedCallsPerSecond is the number of calls with an idempotency key a second. The
	// letter gives none; one in 91 requests is taken.
	KeyedCallsPerSecond float64
}

// Processes returns the number of the system's processes.
func (s Size) Processes() float64 { return s.Entries + s.Workers }

// PlannedSize returns the size to design for, as the users' letter gives it. A
// rack holds 40 instances; scopes are the pools, zones, endpoints and
// workspaces that tickets name.
func PlannedSize() Size {
	return Size{
		Name: "planned", Entries: 2200, Workers: 12000, Zones: 8, Regions: 4, RequestsPerSecond: 91000, TokensPerSecond: 21e6,
		BurstInstances: 440, TicketsPerDay: 38000, RestartsPerDay: 1300, InstancesPerRack: 40, ReadersPerZone: 2, ScopesPerMember: 4000, KeyedCallsPerSecond: 1000,
	}
}

// CurrentSize returns the size of today. The users give no request rate for it.
func CurrentSize() Size {
	return Size{
		Name: "today", Entries: 4, Workers: 15, Zones: 3, Regions: 3, BurstInstances: 12, TicketsPerDay: 100, RestartsPerDay: 2,
		InstancesPerRack: 4, ReadersPerZone: 2, ScopesPerMember: 40,
	}
}

// Budget of a process for control, from the users' letter.
const (
	budgetBytesPerSecond       = 3 << 10
	budgetMemoryBytes          = 32 << 20
	budgetCoreShare            = 0.02
	budgetStoreReadsPerSecond  = 2000
	budgetStoreWritesPerSecond = 400
	budgetTicketSeconds        = 10
)
