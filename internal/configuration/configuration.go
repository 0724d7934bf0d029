// Package configuration holds what the operator configures: routes, services,
// tenants and limits. It reads and checks a configuration, and finds in it the
// route, service and tenant of a request. The types are generated from the schema
// of the interface.
package configuration

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
)

// Parse reads a configuration from JSON and checks everything that it alone can
// show to be wrong. Unknown fields are ignored, since a later version may have
// written it. The error names the entry that is wrong, for the operator.
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
	services, err := checkServices(c.ServiceTable)
	if err != nil {
		return err
	}
	if err := checkRoutes(c.RouteTable, services); err != nil {
		return err
	}
	return checkTenants(c.TenantTable)
}

// checkServices returns the names of the services.
func checkServices(list []*Service) (map[string]bool, error) {
	names := map[string]bool{}
	for _, s := range list {
		if s.Name == "" {
			return nil, errors.New("a service has no name")
		}
		if names[s.Name] {
			return nil, fmt.Errorf("service %s is there twice", s.Name)
		}
		names[s.Name] = true
		if s.StaticEndpoint != "" {
			if _, _, err := net.SplitHostPort(s.StaticEndpoint); err != nil {
				return nil, fmt.Errorf("service %s: static-endpoint %q is not host:port", s.Name, s.StaticEndpoint)
			}
		}
		if s.RatePerS < 0 {
			return nil, fmt.Errorf("service %s: rate-per-s is below 0", s.Name)
		}
	}
	return names, nil
}

func checkRoutes(list []*Route, services map[string]bool) error {
	byMatch := map[string]string{} // the name of the route by host and prefix
	for _, r := range list {
		if err := r.check(services); err != nil {
			return err
		}
		match := strings.ToLower(r.HostMatch) + " " + r.PathPrefix
		if other, ok := byMatch[match]; ok {
			return fmt.Errorf("routes %s and %s have the same host and prefix", other, r.Name)
		}
		byMatch[match] = r.Name
	}
	return nil
}

// check checks what a route alone can show to be wrong.
func (r *Route) check(services map[string]bool) error {
	if r.TimeoutMs <= 0 {
		return fmt.Errorf("route %s: timeout-ms %d must be over 0", r.Name, r.TimeoutMs)
	}
	if r.RetentionS < 0 {
		return fmt.Errorf("route %s: retention-s is below 0", r.Name)
	}
	if r.IsTopicSpace() {
		return r.checkTopicSpace()
	}
	if !services[r.Service] {
		return fmt.Errorf("route %s names service %q, which is not known", r.Name, r.Service)
	}
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
		return fmt.Errorf("route %s: path-prefix %q does not begin with /", r.Name, r.PathPrefix)
	}
	return nil
}

func (r *Route) checkTopicSpace() error {
	switch {
	case r.Service != "":
		return fmt.Errorf("route %s is a space of topics and names service %q", r.Name, r.Service)
	case r.HostMatch != "":
		return fmt.Errorf("route %s is a space of topics and names host %q", r.Name, r.HostMatch)
	case r.PathPrefix == "":
		return fmt.Errorf("route %s is a space of topics without a path-prefix", r.Name)
	}
	return nil
}

func checkTenants(list []*Tenant) error {
	names := map[string]bool{}
	byKey := map[string]string{} // the name of the tenant by API key
	for _, t := range list {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("tenant %q has no name of its own", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.ApiKeys {
			if other, ok := byKey[key]; ok && other != t.Name {
				return fmt.Errorf("tenants %s and %s share a key", other, t.Name)
			}
			byKey[key] = t.Name
		}
		if t.RatePerS < 0 || t.BurstSize < 0 {
			return fmt.Errorf("tenant %s: a limit is below 0", t.Name)
		}
	}
	return nil
}
