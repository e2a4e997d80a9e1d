// Package membership holds a process's view of the live and leaving instances.
// It knows nothing about where the view comes from.
package membership

// Role says which program an instance runs.
type Role string

// The roles of instances.
const (
	EntryRole Role = "entry"
	AgentRole Role = "agent"
)

// Status says whether an instance takes new work.
type Status string

// The statuses of instances. Gone records are kept for a while so that
// deletions spread like changes.
const (
	Live    Status = "live"
	Leaving Status = "leaving"
	Gone    Status = "gone"
)

// Instance is one record of the instance list, as the platform gives it.
type Instance struct {
	Name             string `json:"name"`
	Role             Role   `json:"role"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	Pool             string `json:"pool,omitempty"`
	CallersAddress   string `json:"callersAddress,omitempty"`
	WorkAddress      string `json:"workAddress,omitempty"`
	ControlAddress   string `json:"controlAddress"`
	Status           Status `json:"status"`
	// Version is the version of the list that last changed this record.
	Version int64 `json:"version"`
}
