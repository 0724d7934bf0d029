// Package settings owns the file that the platform writes for a process: its
// reading, its checking, and the durations derived from the rules' bounds.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(string(raw))
}

// Parse reads lines of the form a.b=value. Unknown fields are ignored.
func Parse(text string) (*Settings, error) {
	tree := map[string]any{}
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: %q has no '='", n+1, line)
		}
		if err := place(tree, (&Settings{}).ProtoReflect().Descriptor(), strings.TrimSpace(name), strings.TrimSpace(value)); err != nil {
			return nil, fmt.Errorf("settings line %d: %w", n+1, err)
		}
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if s.Limits == nil {
		s.Limits = &Limits{}
	}
	if s.Timers == nil {
		s.Timers = &Timers{}
	}
	if s.Listeners == nil {
		s.Listeners = &Listeners{}
	}
	if s.FaultTolerance == nil {
		s.FaultTolerance = &FaultTolerance{}
	}
	return s, s.check()
}

// place puts one value into the tree at the field that the dotted name means.
func place(tree map[string]any, d protoreflect.MessageDescriptor, name, value string) error {
	head, rest, nested := strings.Cut(name, ".")
	f := d.Fields().ByJSONName(head)
	if f == nil {
		return nil
	}
	if nested {
		if f.Message() == nil {
			return fmt.Errorf("%s is not a group of fields", head)
		}
		child, _ := tree[head].(map[string]any)
		if child == nil {
			child = map[string]any{}
			tree[head] = child
		}
		if f.IsMap() {
			child[rest] = value
			return nil
		}
		return place(child, f.Message(), rest, value)
	}
	if f.IsList() {
		list := []any{}
		for _, part := range strings.Split(value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				v, err := scalar(f, name, part)
				if err != nil {
					return err
				}
				list = append(list, v)
			}
		}
		tree[head] = list
		return nil
	}
	v, err := scalar(f, name, value)
	tree[head] = v
	return err
}

func scalar(f protoreflect.FieldDescriptor, name, value string) (any, error) {
	switch f.Kind() {
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return nil, fmt.Errorf("%s=%s is neither true nor false", name, value)
		}
		return b, nil
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("%s=%s is not a number", name, value)
		}
		return x, nil
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || x != float64(int64(x)) {
			return nil, fmt.Errorf("%s=%s is not a whole number", name, value)
		}
		return int64(x), nil
	}
	return value, nil
}

func (s *Settings) check() error {
	need := map[string]string{"node-name": s.NodeName, "ip-address": s.IpAddress, "zone": s.Zone, "region": s.Region}
	for _, name := range []string{"node-name", "ip-address", "zone", "region"} {
		if need[name] == "" {
			return fmt.Errorf("settings: %s is missing", name)
		}
	}
	if net.ParseIP(s.IpAddress) == nil {
		return fmt.Errorf("settings: ip-address=%s is not an address", s.IpAddress)
	}
	r := s.InternalPortRange
	if len(r) != 2 || r[0] < 1 || r[1] > 65535 || r[0] > r[1] {
		return fmt.Errorf("settings: internal-port-range=%v is not two ports in rising order", r)
	}
	if len(s.SeedPeers) == 0 {
		return fmt.Errorf("settings: seed-peers is missing")
	}
	for _, p := range s.SeedPeers {
		if _, _, err := net.SplitHostPort(p); err != nil {
			return fmt.Errorf("settings: seed-peers=%s is not host:port", p)
		}
	}
	for _, t := range []struct {
		name string
		v    float64
	}{{"contact-ms", s.Timers.ContactMs}, {"grace-s", s.Timers.GraceS}, {"status-ttl-s", s.Timers.StatusTtlS}, {"config-apply-ms", s.Timers.ConfigApplyMs}, {"drain-ms", s.Timers.DrainMs}} {
		if t.v <= 0 {
			return fmt.Errorf("settings: timers.%s=%v must be over 0", t.name, t.v)
		}
	}
	return nil
}

// Require tells which of the named listeners or paths a role cannot do without.
func (s *Settings) Require(role string) error {
	missing := map[string]map[string]string{
		"edge":  {"listeners.data-plane": s.Listeners.DataPlane, "listeners.readiness": s.Listeners.Readiness},
		"store": {"data-path": s.DataPath},
		"core":  {"listeners.control-plane": s.Listeners.ControlPlane, "data-path": s.DataPath},
	}
	for _, name := range []string{"listeners.data-plane", "listeners.readiness", "listeners.control-plane", "data-path"} {
		if v, ok := missing[role][name]; ok && v == "" {
			return fmt.Errorf("settings: %s is missing, and the role %s needs it", name, role)
		}
	}
	return nil
}

// Contact is the bound that most waits inside the system are ratios of.
func (s *Settings) Contact() time.Duration { return Ms(s.Timers.ContactMs) }

// Internal is the address at which our own processes reach this one.
func (s *Settings) Internal() string { return s.InternalAt(s.IpAddress) }

// InternalAt is the internal address of the process on the machine with that IP.
func (s *Settings) InternalAt(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(int(s.InternalPortRange[0])))
}

// Cores are the internal addresses of the seed peers.
func (s *Settings) Cores() []string {
	var out []string
	for _, p := range s.SeedPeers {
		host, _, _ := net.SplitHostPort(p)
		out = append(out, s.InternalAt(host))
	}
	return out
}

// Ms turns milliseconds into a duration.
func Ms(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds turns seconds into a duration.
func Seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
