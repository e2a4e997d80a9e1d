// Package configuration holds the versioned configuration of a process: its
// routes, services, workspaces and limits, and the version in effect. It does no
// I/O.
//
// Invariant: the version in effect never decreases during the lifetime of a process.
package configuration

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits are the size limits and timeouts for requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name    string
	APIKeys []string
	// Priority overrides the priority of the route; nil means that the workspace has
	// none.
	Priority *int
	// Regions are the regions that may handle the workspace's requests; empty means
	// all.
	Regions []string
}

// Content holds the values of a configuration.
type Content struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// KeyRequired is true if requests to routes that are not public require a key.
	KeyRequired bool
	Limits      Limits
}

// Configuration is one version of the configuration set by the operators. It is
// immutable.
type Configuration struct {
	content Content
	// routesByHost holds the routes of each host, those with the longest prefix first.
	routesByHost    map[string][]*Route
	servicesByName  map[string]*Service
	workspacesByKey map[string]*Workspace
	// prioritiesByService holds the priorities of the routes to each service, in ascending
	// order.
	prioritiesByService map[string][]int
}

// New returns a configuration with the given content, which must not be changed
// afterwards.
func New(content Content) *Configuration {
	c := &Configuration{
		content: content, routesByHost: map[string][]*Route{},
		servicesByName: make(map[string]*Service, len(content.Services)), workspacesByKey: map[string]*Workspace{},
		prioritiesByService: map[string][]int{},
	}
	for index := range content.Routes {
		route := &content.Routes[index]
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
		for _, target := range route.Targets {
			c.addPriority(target.Service, route.Priority)
		}
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for index := range content.Services {
		c.servicesByName[content.Services[index].Name] = &content.Services[index]
	}
	for index := range content.Workspaces {
		workspace := &content.Workspaces[index]
		for _, key := range workspace.APIKeys {
			c.workspacesByKey[key] = workspace
		}
	}
	return c
}

// Version returns the version of the configuration.
func (c *Configuration) Version() int64 { return c.content.Version }

// Limits returns the size limits and timeouts for requests.
func (c *Configuration) Limits() Limits { return c.content.Limits }

// KeyRequired reports whether requests to routes that are not public require a key.
func (c *Configuration) KeyRequired() bool { return c.content.KeyRequired }

// Routes returns all routes. Callers must not change them.
func (c *Configuration) Routes() []Route { return c.content.Routes }

// Services returns all services. Callers must not change them.
func (c *Configuration) Services() []Service { return c.content.Services }

// Match returns the route of a host with the longest path prefix that matches the
// path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, route := range c.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// HostRoutes returns the routes of a host.
func (c *Configuration) HostRoutes(host string) []*Route { return c.routesByHost[hostName(host)] }

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns the named service.
func (c *Configuration) Service(name string) (*Service, bool) {
	service, found := c.servicesByName[name]
	return service, found
}

// addPriority adds the priority of a route to a service.
func (c *Configuration) addPriority(service string, priority int) {
	priorities := c.prioritiesByService[service]
	if index, found := slices.BinarySearch(priorities, priority); !found {
		c.prioritiesByService[service] = slices.Insert(priorities, index, priority)
	}
}

// Priorities returns the priorities of the routes to a service, in ascending order without
// duplicates. Callers must not change them.
func (c *Configuration) Priorities(service string) []int { return c.prioritiesByService[service] }

// WorkspaceByKey returns the workspace that owns an API key.
func (c *Configuration) WorkspaceByKey(key string) (*Workspace, bool) {
	workspace, found := c.workspacesByKey[key]
	return workspace, found
}

// ModelService returns the service whose engines serve a model.
func (c *Configuration) ModelService(name string) (*Service, bool) {
	for index := range c.content.Services {
		service := &c.content.Services[index]
		if service.Engine != nil && slices.Contains(service.Engine.Models, name) {
			return service, true
		}
	}
	return nil, false
}

// Origin returns the origin from which weights are fetched.
func (c *Configuration) Origin() (*Origin, bool) {
	for index := range c.content.Services {
		if origin := c.content.Services[index].Origin; origin != nil {
			return origin, true
		}
	}
	return nil, false
}
