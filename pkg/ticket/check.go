package ticket

import (
	"fmt"
	"regexp"

	"github.com/mimosaward/mimosaward/internal/diagnostic"
	"github.com/mimosaward/mimosaward/internal/strictjson"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	namePatternProblem = "must be 1 to 63 lower-case letters, digits and hyphens"
	maxPercent         = 100
)

// Parse parses and validates a ticket file. The error contains every finding with
// its line and key path.
func Parse(file string, text []byte) (*Ticket, error) {
	var findings diagnostic.List
	parsed := &Ticket{}
	document := strictjson.Parse(file, text, &findings)
	document.Decode(parsed)
	if document.Valid() {
		c := checker{file: file, document: document, findings: &findings}
		c.checkTicket(parsed)
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// checker validates a ticket and collects the findings.
type checker struct {
	file     string
	document *strictjson.Document
	findings *diagnostic.List
}

func (c *checker) add(path, format string, args ...any) {
	c.findings.Add(diagnostic.New(c.file, c.document.Line(path), path, fmt.Sprintf(format, args...)))
}

func (c *checker) checkTicket(t *Ticket) {
	if t.Number < 0 {
		c.add("number", "must be positive, or absent to take the next free number")
	}
	if t.Operator == "" {
		c.add("operator", "must not be empty")
	}
	if len(t.Scopes()) == 0 {
		c.add("", "the ticket changes nothing: specify pools, zones, endpoints or workspaces")
	}
	c.checkNames(t)
	for index, pool := range t.Pools {
		c.checkPool(fmt.Sprintf("pools[%d]", index), pool)
	}
	for index, workspace := range t.Workspaces {
		c.checkWorkspace(fmt.Sprintf("workspaces[%d]", index), workspace)
	}
}

// checkNames reports invalid names and scopes that the ticket changes more than once.
func (c *checker) checkNames(t *Ticket) {
	seen := map[Scope]string{}
	checkName := func(path, name string, scope Scope) {
		if !namePattern.MatchString(name) {
			c.add(path, "name %q %s", name, namePatternProblem)
		}
		if first, duplicate := seen[scope]; duplicate {
			c.add(path, "%q is already changed by %s", name, first)
		}
		seen[scope] = path
	}
	for index, pool := range t.Pools {
		checkName(fmt.Sprintf("pools[%d].name", index), pool.Name, PoolScope(pool.Name))
	}
	for index, zone := range t.Zones {
		checkName(fmt.Sprintf("zones[%d].name", index), zone.Name, ZoneScope(zone.Name))
	}
	for index, endpoint := range t.Endpoints {
		checkName(fmt.Sprintf("endpoints[%d].name", index), endpoint.Name, EndpointScope(endpoint.Name))
	}
	for index, workspace := range t.Workspaces {
		checkName(fmt.Sprintf("workspaces[%d].name", index), workspace.Name, WorkspaceScope(workspace.Name))
	}
}

func (c *checker) checkPool(path string, pool Pool) {
	switch pool.Kind {
	case ModelPool:
		c.checkModelPool(path, pool)
	case ServicePool:
		if pool.Model != "" || pool.Version != "" || pool.Manifest != "" {
			c.add(path, "a service pool has no model, version or manifest")
		}
	default:
		c.add(path+".kind", "%q is neither %q nor %q", pool.Kind, ModelPool, ServicePool)
	}
}

func (c *checker) checkModelPool(path string, pool Pool) {
	if !namePattern.MatchString(pool.Model) {
		c.add(path+".model", "name %q %s", pool.Model, namePatternProblem)
	}
	if pool.Version == "" {
		c.add(path+".version", "must not be empty")
	}
	if !digestPattern.MatchString(pool.Manifest) {
		c.add(path+".manifest", "must be the SHA-256 digest of a manifest, 64 hexadecimal digits")
	}
	if pool.Replicas < 1 {
		c.add(path+".replicas", "must be at least 1")
	}
	if pool.MaxSwapping < 1 {
		c.add(path+".maxSwapping", "must be at least 1")
	}
}

func (c *checker) checkWorkspace(path string, workspace Workspace) {
	if workspace.Priority < 0 || workspace.Priority > MaxPriority {
		c.add(path+".priority", "must be between 0 and %d", MaxPriority)
	}
	if workspace.MaxShare < 1 || workspace.MaxShare > maxPercent {
		c.add(path+".maxShare", "must be between 1 and %d percent", maxPercent)
	}
}
