// Package configuration owns what the operator sends: reading and checking
// it, and the table by which a request finds its route, service and tenant.
package configuration

import (
	"errors"
	"fmt"
	"net"
	"sort"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
)

// Parse reads a configuration and checks all that can be checked in it alone.
func Parse(raw []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("configuration cannot be read: %w", err)
	}
	return c, c.check()
}

func (c *Configuration) check() error {
	if c.Revision <= 0 {
		return fmt.Errorf("revision %d must be over 0", c.Revision)
	}
	services := map[string]bool{}
	for _, s := range c.ServiceTable {
		if s.Name == "" {
			return errors.New("a service has no name")
		}
		if services[s.Name] {
			return fmt.Errorf("service %s is there twice", s.Name)
		}
		services[s.Name] = true
		if s.StaticEndpoint != "" {
			if _, _, err := net.SplitHostPort(s.StaticEndpoint); err != nil {
				return fmt.Errorf("service %s: static-endpoint %q is not host:port", s.Name, s.StaticEndpoint)
			}
		}
		if s.RatePerS < 0 {
			return fmt.Errorf("service %s: rate-per-s is below 0", s.Name)
		}
	}
	places := map[string]string{}
	for _, r := range c.RouteTable {
		if !services[r.Service] {
			return fmt.Errorf("route %s names service %q, which is not known", r.Name, r.Service)
		}
		place := strings.ToLower(r.HostMatch) + " " + r.PathPrefix
		if other, ok := places[place]; ok {
			return fmt.Errorf("routes %s and %s have the same host and prefix", other, r.Name)
		}
		places[place] = r.Name
		if r.TimeoutMs <= 0 {
			return fmt.Errorf("route %s: timeout-ms %d must be over 0", r.Name, r.TimeoutMs)
		}
		if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
			return fmt.Errorf("route %s: path-prefix %q does not begin with /", r.Name, r.PathPrefix)
		}
	}
	tenants, keys := map[string]bool{}, map[string]string{}
	for _, t := range c.TenantTable {
		if t.Name == "" || tenants[t.Name] {
			return fmt.Errorf("tenant %q has no name of its own", t.Name)
		}
		tenants[t.Name] = true
		for _, k := range t.ApiKeys {
			if other, ok := keys[k]; ok && other != t.Name {
				return fmt.Errorf("tenants %s and %s share a key", other, t.Name)
			}
			keys[k] = t.Name
		}
		if t.RatePerS < 0 || t.BurstSize < 0 {
			return fmt.Errorf("tenant %s: a limit is below 0", t.Name)
		}
	}
	return nil
}

// Table answers lookups in one configuration. It does not change.
type Table struct {
	*Configuration
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	tenants  map[string]*Tenant
	keys     map[string]*Tenant
}

// NewTable folds a checked configuration into a table.
func NewTable(c *Configuration) *Table {
	t := &Table{c, map[string][]*Route{}, map[string]*Service{}, map[string]*Tenant{}, map[string]*Tenant{}}
	for _, r := range c.RouteTable {
		h := strings.ToLower(r.HostMatch)
		t.routes[h] = append(t.routes[h], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for _, s := range c.ServiceTable {
		t.services[s.Name] = s
	}
	for _, x := range c.TenantTable {
		t.tenants[x.Name] = x
		for _, k := range x.ApiKeys {
			t.keys[k] = x
		}
	}
	return t
}

// Route finds the route of a host and a target; nil if none fits.
func (t *Table) Route(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	host = strings.ToLower(host)
	list := t.routes[host]
	if list == nil {
		if h, _, err := net.SplitHostPort(host); err == nil {
			list = t.routes[h]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service finds a service by name; nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Tenant finds a tenant by name; nil if there is none.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// Holder finds the tenant that holds a key; nil if nobody does.
func (t *Table) Holder(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// HasHost tells whether any route is on that host.
func (t *Table) HasHost(host string) bool {
	host = strings.ToLower(host)
	if t.routes[host] != nil {
		return true
	}
	h, _, err := net.SplitHostPort(host)
	return err == nil && t.routes[h] != nil
}
