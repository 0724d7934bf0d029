// Package configuration defines the operator's configuration: routes, services,
// tenants and limits. It parses and validates a configuration, and looks up the
// route, service and tenant of a request in it. The types are generated from the
// schema of the interface.
package configuration

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
)

// Parse parses a configuration from JSON and validates it as far as possible without
// other state. Unknown fields are ignored, since a later version may have written
// them. The error names the invalid entry, for the operator.
func Parse(raw []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("configuration cannot be parsed: %w", err)
	}
	return c, c.check()
}

func (c *Configuration) check() error {
	if c.Revision <= 0 {
		return fmt.Errorf("revision %d must be positive", c.Revision)
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

// checkServices validates the services and returns their names.
func checkServices(list []*Service) (map[string]bool, error) {
	names := map[string]bool{}
	for _, s := range list {
		if s.Name == "" {
			return nil, errors.New("a service has no name")
		}
		if names[s.Name] {
			return nil, fmt.Errorf("service %s is defined twice", s.Name)
		}
		names[s.Name] = true
		if s.StaticEndpoint != "" {
			if _, _, err := net.SplitHostPort(s.StaticEndpoint); err != nil {
				return nil, fmt.Errorf("service %s: static-endpoint %q is not host:port", s.Name, s.StaticEndpoint)
			}
		}
		if s.RatePerS < 0 {
			return nil, fmt.Errorf("service %s: rate-per-s is negative", s.Name)
		}
	}
	return names, nil
}

func checkRoutes(list []*Route, services map[string]bool) error {
	byMatch := map[string]string{} // route names by host and prefix
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

// check validates a route, given the names of all services.
func (r *Route) check(services map[string]bool) error {
	if r.TimeoutMs <= 0 {
		return fmt.Errorf("route %s: timeout-ms %d must be positive", r.Name, r.TimeoutMs)
	}
	if r.RetentionS < 0 {
		return fmt.Errorf("route %s: retention-s is negative", r.Name)
	}
	if r.IsTopicSpace() {
		return r.checkTopicSpace()
	}
	if !services[r.Service] {
		return fmt.Errorf("route %s refers to unknown service %q", r.Name, r.Service)
	}
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
		return fmt.Errorf("route %s: path-prefix %q does not begin with /", r.Name, r.PathPrefix)
	}
	return nil
}

func (r *Route) checkTopicSpace() error {
	switch {
	case r.Service != "":
		return fmt.Errorf("route %s is a topic space and must not refer to service %q", r.Name, r.Service)
	case r.HostMatch != "":
		return fmt.Errorf("route %s is a topic space and must not have host-match %q", r.Name, r.HostMatch)
	case r.PathPrefix == "":
		return fmt.Errorf("route %s is a topic space without a path-prefix", r.Name)
	}
	return nil
}

func checkTenants(list []*Tenant) error {
	names := map[string]bool{}
	byKey := map[string]string{} // tenant names by API key
	for _, t := range list {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("tenant name %q is empty or not unique", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.ApiKeys {
			if other, ok := byKey[key]; ok && other != t.Name {
				return fmt.Errorf("tenants %s and %s share an API key", other, t.Name)
			}
			byKey[key] = t.Name
		}
		if t.RatePerS < 0 || t.BurstSize < 0 {
			return fmt.Errorf("tenant %s: rate-per-s or burst-size is negative", t.Name)
		}
	}
	return nil
}
