package configuration

import (
	"net"
	"sort"
	"strings"
)

// Table is a configuration with indexes for request lookups. It is immutable and
// therefore safe for concurrent use without a lock.
type Table struct {
	*Configuration
	routes   map[string][]*Route // by lower-case host, longest prefix first
	services map[string]*Service
	tenants  map[string]*Tenant
	keys     map[string]*Tenant // by API key
}

// NewTable indexes a configuration that Parse has validated. The caller must not
// modify the configuration afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{
		Configuration: c,
		routes:        map[string][]*Route{},
		services:      map[string]*Service{},
		tenants:       map[string]*Tenant{},
		keys:          map[string]*Tenant{},
	}
	for _, route := range c.RouteTable {
		host := strings.ToLower(route.HostMatch)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, service := range c.ServiceTable {
		t.services[service.Name] = service
	}
	for _, tenant := range c.TenantTable {
		t.tenants[tenant.Name] = tenant
		for _, key := range tenant.ApiKeys {
			t.keys[key] = tenant
		}
	}
	return t
}

// Route returns the route with the longest prefix that matches a host, with or
// without a port, and a request target, or nil if none matches.
func (t *Table) Route(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, route := range t.routesForHost(host) {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// routesForHost returns the routes of a host. Routes configured for the host with its
// port take precedence over those for the host without it.
func (t *Table) routesForHost(host string) []*Route {
	host = strings.ToLower(host)
	if list := t.routes[host]; list != nil {
		return list
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil
	}
	return t.routes[name]
}

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Tenant returns the tenant with the given name, or nil if there is none.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// TenantByKey returns the tenant that an API key belongs to, or nil if there is none.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.keys[key]
}
