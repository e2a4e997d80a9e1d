// Package ticket defines the numbered change tickets that operators file: their
// format, their validation and the scopes that they change. It does no I/O.
//
// A ticket contains the complete new state of each scope that it changes, so
// applying it never depends on the previous state of the scope.
package ticket

// Ticket is a numbered configuration change. Tickets are totally ordered by Number.
type Ticket struct {
	Number     int64       `json:"number"`
	Operator   string      `json:"operator" check:"required"`
	Note       string      `json:"note,omitempty"`
	Pools      []Pool      `json:"pools,omitempty"`
	Zones      []Zone      `json:"zones,omitempty"`
	Endpoints  []Endpoint  `json:"endpoints,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// PoolKind is the kind of the endpoints in a pool.
type PoolKind string

// The kinds of pools.
const (
	// ModelPool is a pool of model engines.
	ModelPool PoolKind = "model"
	// ServicePool is a pool of services without model weights.
	ServicePool PoolKind = "service"
)

// Pool is the complete state of an endpoint pool, which defines what its endpoints
// serve.
type Pool struct {
	Name string   `json:"name" check:"required"`
	Kind PoolKind `json:"kind" check:"required"`
	// Model is the model name in callers' requests. It is empty for service pools.
	Model string `json:"model,omitempty"`
	// Version is the name that operators give to the weight set.
	Version string `json:"version,omitempty"`
	// Manifest is the digest of the weight set's manifest, which lists the digest
	// of every chunk.
	Manifest string `json:"manifest,omitempty"`
	// Replicas is the number of endpoints required to serve the weight set.
	Replicas int `json:"replicas,omitempty"`
	// MaxSwapping is the maximum number of endpoints that swap weights at a time.
	MaxSwapping int `json:"maxSwapping,omitempty"`
}

// Zone is the complete state of an availability zone.
type Zone struct {
	Name      string `json:"name" check:"required"`
	InService bool   `json:"inService" check:"required"`
}

// Endpoint is the complete state of an endpoint.
type Endpoint struct {
	Name      string `json:"name" check:"required"`
	TakesWork bool   `json:"takesWork" check:"required"`
}

// Workspace is the complete state of a workspace.
type Workspace struct {
	Name string `json:"name" check:"required"`
	// Priority is between 0 (shed first) and MaxPriority (shed last).
	Priority int `json:"priority" check:"required"`
	// MaxShare is the maximum share of an endpoint's concurrency limit, in percent,
	// that the workspace may use while other workspaces wait.
	MaxShare int `json:"maxShare" check:"required"`
}

// MaxPriority is the highest workspace priority.
const MaxPriority = 2

// Scope identifies a part of the configuration that a ticket replaces as a whole.
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
