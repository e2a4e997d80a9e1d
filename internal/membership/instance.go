// Package membership maintains a process's view of the instance list. It does
// not depend on the source of the list.
package membership

// Role identifies the program that an instance runs.
type Role string

// The roles of instances.
const (
	EntryRole Role = "entry"
	AgentRole Role = "agent"
)

// Status indicates whether an instance accepts new work.
type Status string

// The statuses of instances. Records of gone instances are retained for a while
// as tombstones, so that deletions propagate in the same way as changes.
const (
	Live    Status = "live"
	Leaving Status = "leaving"
	Gone    Status = "gone"
)

// Instance is a record of the platform's instance list.
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
	// Version is the list version in which this record last changed.
	Version int64 `json:"version"`
}
