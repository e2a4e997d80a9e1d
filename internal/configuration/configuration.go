// Package configuration owns the configuration that a process acts on: routes,
// services, workspaces and limits of one version, and which version is in force.
// It does no I/O.
//
// Invariant: within the life of a process the version in force never decreases.
package configuration

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name    string
	APIKeys []string
	// Priority goes before the route's; nil means that the workspace has none.
	Priority *int
	// Regions are the only ones that may handle the workspace's requests; empty
	// means all.
	Regions []string
}

// Content is what a configuration is made of.
type Content struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// KeyRequired is true if requests of routes that are not public need a key.
	KeyRequired bool
	Limits      Limits
}

// Configuration is one version of the operators' wishes. It is immutable.
type Configuration struct {
	content Content
	// routesByHost holds each host's routes, those with the longest prefix first.
	routesByHost    map[string][]*Route
	servicesByName  map[string]*Service
	workspacesByKey map[string]*Workspace
}

// New returns the configuration with the content, which must not be changed
// afterwards.
func New(content Content) *Configuration {
	c := &Configuration{
		content: content, routesByHost: map[string][]*Route{},
		servicesByName: make(map[string]*Service, len(content.Services)), workspacesByKey: map[string]*Workspace{},
	}
	for index := range content.Routes {
		route := &content.Routes[index]
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
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

// Version returns the number of the configuration.
func (c *Configuration) Version() int64 { return c.content.Version }

// Limits returns what callers may send.
func (c *Configuration) Limits() Limits { return c.content.Limits }

// KeyRequired reports whether requests of routes that are not public need a key.
func (c *Configuration) KeyRequired() bool { return c.content.KeyRequired }

// Routes returns every route. Callers must not change them.
func (c *Configuration) Routes() []Route { return c.content.Routes }

// Services returns every service. Callers must not change them.
func (c *Configuration) Services() []Service { return c.content.Services }

// Match returns the route of a host whose prefix is the longest that begins the
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

// WorkspaceByKey returns the workspace that holds the key.
func (c *Configuration) WorkspaceByKey(key string) (*Workspace, bool) {
	workspace, found := c.workspacesByKey[key]
	return workspace, found
}

// ModelService returns the service whose engines hold the model.
func (c *Configuration) ModelService(name string) (*Service, bool) {
	for index := range c.content.Services {
		service := &c.content.Services[index]
		if service.Engine != nil && slices.Contains(service.Engine.Models, name) {
			return service, true
		}
	}
	return nil, false
}

// Origin returns the service that hands out weights.
func (c *Configuration) Origin() (*Origin, bool) {
	for index := range c.content.Services {
		if origin := c.content.Services[index].Origin; origin != nil {
			return origin, true
		}
	}
	return nil, false
}
