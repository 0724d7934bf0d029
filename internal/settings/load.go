// Package settings parses and validates the settings file that the platform writes
// for a process, and derives addresses and durations from it. The types are generated
// from the schema of the file.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Load reads, parses and validates the file at path.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(string(raw))
}

// Parse parses and validates settings of the form group.field=value, one per line.
// Empty lines and lines that begin with # are ignored. So are unknown fields, since
// a later version may have written them. Missing groups are empty, not nil.
func Parse(text string) (*Settings, error) {
	tree := map[string]any{}
	descriptor := (&Settings{}).ProtoReflect().Descriptor()
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: %q has no '='", n+1, line)
		}
		if err := setField(tree, descriptor, strings.TrimSpace(name), strings.TrimSpace(value)); err != nil {
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
	s.addMissingGroups()
	return s, s.check()
}

func (s *Settings) addMissingGroups() {
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
}

// setField stores a value under a dotted field name in the tree, which has the
// structure of the JSON encoding of the message.
func setField(tree map[string]any, message protoreflect.MessageDescriptor, name, value string) error {
	head, rest, nested := strings.Cut(name, ".")
	field := message.Fields().ByJSONName(head)
	if field == nil {
		return nil
	}
	if nested {
		return setNestedField(tree, field, rest, value)
	}
	var parsed any
	var err error
	if field.IsList() {
		parsed, err = parseList(field, name, value)
	} else {
		parsed, err = parseScalar(field, name, value)
	}
	if err != nil {
		return err
	}
	tree[head] = parsed
	return nil
}

// setNestedField stores a value in a group or a map.
func setNestedField(tree map[string]any, field protoreflect.FieldDescriptor, name, value string) error {
	if field.Message() == nil {
		return fmt.Errorf("%s is not a group of fields", field.JSONName())
	}
	group, _ := tree[field.JSONName()].(map[string]any)
	if group == nil {
		group = map[string]any{}
		tree[field.JSONName()] = group
	}
	if field.IsMap() {
		group[name] = value
		return nil
	}
	return setField(group, field.Message(), name, value)
}

// parseList parses comma-separated values.
func parseList(field protoreflect.FieldDescriptor, name, value string) ([]any, error) {
	list := []any{}
	for _, element := range strings.Split(value, ",") {
		element = strings.TrimSpace(element)
		if element == "" {
			continue
		}
		parsed, err := parseScalar(field, name, element)
		if err != nil {
			return nil, err
		}
		list = append(list, parsed)
	}
	return list, nil
}

func parseScalar(field protoreflect.FieldDescriptor, name, value string) (any, error) {
	switch field.Kind() {
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
			return nil, fmt.Errorf("%s=%s is not an integer", name, value)
		}
		return int64(x), nil
	}
	return value, nil
}
