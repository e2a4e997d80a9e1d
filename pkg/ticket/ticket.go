// Package ticket owns the numbered change tickets that operators file: their
// format, their checks and the scopes that they touch. It does no I/O.
//
// A ticket carries the whole new state of each scope it touches, so applying
// it never depends on the scope's earlier state.
package ticket

// Ticket is one numbered change. Tickets are totally ordered by Number.
type Ticket struct {
	Number     int64       `json:"number"`
	Operator   string      `json:"operator" check:"required"`
	Note       string      `json:"note,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Zones      []Zone      `json:"zones,omitempty"`
	Endpoints  []Endpoint  `json:"endpoints,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// PoolKind says what the endpoints of a pool are.
type PoolKind string

// The kinds of pools.
const (
	// ModelPool holds model engines.
	ModelPool PoolKind = "model"
	// ServicePool holds plain services.
	ServicePool PoolKind = "service"
)

// Pool is the whole state of one endpoint pool: what its endpoints serve.
type Pool struct {
	Name string   `json:"name" check:"required"`
	Kind PoolKind `json:"kind" check:"required"`
	// Model is the name that callers ask for. Service pools leave it empty.
	Model string `json:"model,omitempty"`
	// Version is the operators' name for the weight set.
	Version string `json:"version,omitempty"`
	// Manifest is the digest of the manifest that pins every chunk.
	Manifest string `json:"manifest,omitempty"`
	// Replicas is the number of endpoints required to serve the set.
	Replicas int `json:"replicas,omitempty"`
	// MaxSwapping bounds how many endpoints swap weights at a time.
	MaxSwapping int `json:"maxSwapping,omitempty"`
}

// Zone is the whole state of one availability zone.
type Zone struct {
	Name      string `json:"name" check:"required"`
	InService bool   `json:"inService" check:"required"`
}

// Endpoint is the whole state of one endpoint.
type Endpoint struct {
	Name      string `json:"name" check:"required"`
	TakesWork bool   `json:"takesWork" check:"required"`
}

// Workspace is the whole state of one workspace.
type Workspace struct {
	Name string `json:"name" check:"required"`
	// Priority is between 0 (shed first) and MaxPriority (shed last).
	Priority int `json:"priority" check:"required"`
	// MaxShare bounds the part of an endpoint's limit, in percent, that the
	// workspace may hold while others wait.
	MaxShare int `json:"maxShare" check:"required"`
}

// MaxPriority is the highest workspace priority.
const MaxPriority = 2

// Scope names one part of the configuration that a ticket replaces as a whole.
type Scope string

// PoolScope returns the scope of the named pool.
func PoolScope(name string) Scope { return Scope("pool/" + name) }

// ZoneScope returns the scope of the named availability zone.
func ZoneScope(name string) Scope { return Scope("zone/" + name) }

// EndpointScope returns the scope of the named endpoint.
func EndpointScope(name string) Scope { return Scope("endpoint/" + name) }

// WorkspaceScope returns the scope of the named workspace.
func WorkspaceScope(name string) Scope { return Scope("workspace/" + name) }

// Scopes returns the scopes that the ticket replaces.
func (t *Ticket) Scopes() []Scope {
	var scopes []Scope
	for _, pool := range t.Pools {
		scopes = append(scopes, PoolScope(pool.Name))
	}
	for _, zone := range t.Zones {
		scopes = append(scopes, ZoneScope(zone.Name))
	}
	for _, endpoint := range t.Endpoints {
		scopes = append(scopes, EndpointScope(endpoint.Name))
	}
	for _, workspace := range t.Workspaces {
		scopes = append(scopes, WorkspaceScope(workspace.Name))
	}
	return scopes
}
