package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// patch is a change of named items of a configuration, as sent by the operator.
// Items are kept as raw JSON, so that fields unknown to this version are preserved.
type patch struct {
	Revision json.RawMessage            `json:"revision"`
	Upsert   map[string]json.RawMessage `json:"upsert"`   // items to add or to replace, by table; items are matched by name
	Withdraw map[string][]string        `json:"withdraw"` // names of items to remove, by table
}

// PatchRevision parses a patch and returns the revision of the resulting configuration.
func PatchRevision(raw []byte) (int64, error) {
	var p patch
	if err := json.Unmarshal(raw, &p); err != nil {
		return 0, fmt.Errorf("patch cannot be parsed: %w", err)
	}
	var revision int64
	if err := json.Unmarshal(p.Revision, &revision); err != nil || revision <= 0 {
		return 0, fmt.Errorf("patch: revision %q must be a positive integer", p.Revision)
	}
	return revision, nil
}

// ApplyPatch applies a patch to a configuration and returns the result, which it does
// not validate: Parse does. current is nil if there is no configuration yet. An error
// means that the patch or the current configuration is malformed.
func ApplyPatch(current, raw []byte) ([]byte, error) {
	var p patch
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("patch cannot be parsed: %w", err)
	}
	if p.Revision == nil {
		return nil, errors.New("patch: revision is missing")
	}
	next := map[string]json.RawMessage{}
	if current != nil {
		if err := json.Unmarshal(current, &next); err != nil {
			return nil, fmt.Errorf("current configuration: %w", err)
		}
	}
	next["revision"] = p.Revision
	for table, names := range p.Withdraw {
		if err := replaceItems(next, table, names, nil); err != nil {
			return nil, err
		}
	}
	for table, value := range p.Upsert {
		if !isList(value) { // a group without named items, such as limits
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

// replaceItems removes the items named in withdrawn from a table and adds those in
// upserted. An upserted item takes the position of the item with the same name; an
// item with a new name is appended.
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
			return fmt.Errorf("patch: current %s: %w", table, err)
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
