package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// patch is a change of named items of a configuration, as the operator sends it.
// Items stay in the form in which they were sent, with the fields that this
// version does not know.
type patch struct {
	Revision json.RawMessage            `json:"revision"`
	Upsert   map[string]json.RawMessage `json:"upsert"`   // by table: items to add, or to replace by their name
	Withdraw map[string][]string        `json:"withdraw"` // by table: names of items to remove
}

// PatchRevision reads a patch and returns the revision that it makes.
func PatchRevision(raw []byte) (int64, error) {
	var p patch
	if err := json.Unmarshal(raw, &p); err != nil {
		return 0, fmt.Errorf("patch cannot be read: %w", err)
	}
	var revision int64
	if err := json.Unmarshal(p.Revision, &revision); err != nil || revision <= 0 {
		return 0, fmt.Errorf("patch: revision %q must be a number over 0", p.Revision)
	}
	return revision, nil
}

// ApplyPatch returns the configuration that a patch makes of another one. It does
// not check the result: Parse does. An error means that the patch cannot be read.
func ApplyPatch(current, raw []byte) ([]byte, error) {
	var p patch
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("patch cannot be read: %w", err)
	}
	if p.Revision == nil {
		return nil, errors.New("patch: revision is missing")
	}
	next := map[string]json.RawMessage{}
	if current != nil {
		if err := json.Unmarshal(current, &next); err != nil {
			return nil, fmt.Errorf("the configuration in force: %w", err)
		}
	}
	next["revision"] = p.Revision
	for table, names := range p.Withdraw {
		if err := replaceItems(next, table, names, nil); err != nil {
			return nil, err
		}
	}
	for table, value := range p.Upsert {
		if !isList(value) { // a group without names, such as the limits
			next[table] = value
			continue
		}
		var items []json.RawMessage
		if err := json.Unmarshal(value, &items); err != nil {
			return nil, fmt.Errorf("patch: %s: %w", table, err)
		}
		if err := replaceItems(next, table, nil, items); err != nil {
			return nil, err
		}
	}
	return json.Marshal(next)
}

func isList(raw json.RawMessage) bool {
	return bytes.HasPrefix(bytes.TrimSpace(raw), []byte{'['})
}

// replaceItems removes the items with these names from a table, and puts items
// into it, each at the place of the one that has its name.
func replaceItems(configuration map[string]json.RawMessage, table string, withdrawn []string, upserted []json.RawMessage) error {
	var items []json.RawMessage
	if raw := configuration[table]; raw != nil {
		if err := json.Unmarshal(raw, &items); err != nil {
			return fmt.Errorf("patch: %s is not a list of items: %w", table, err)
		}
	}
	position := map[string]int{}
	for i, item := range items {
		name, err := itemName(item)
		if err != nil {
			return fmt.Errorf("patch: %s in force: %w", table, err)
		}
		position[name] = i
	}
	for _, name := range withdrawn {
		if i, ok := position[name]; ok {
			items[i] = nil
		}
	}
	for _, item := range upserted {
		name, err := itemName(item)
		if err != nil {
			return fmt.Errorf("patch: %s: %w", table, err)
		}
		if i, ok := position[name]; ok {
			items[i] = item
			continue
		}
		position[name] = len(items)
		items = append(items, item)
	}
	remaining := []json.RawMessage{}
	for _, item := range items {
		if item != nil {
			remaining = append(remaining, item)
		}
	}
	raw, err := json.Marshal(remaining)
	configuration[table] = raw
	return err
}

func itemName(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", err
	}
	if named.Name == "" {
		return "", errors.New("an item has no name")
	}
	return named.Name, nil
}
