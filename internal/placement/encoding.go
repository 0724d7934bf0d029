package placement

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// stored is a placement as it travels and as it lies on disk. Each node reads
// each placement, so stores are named once, and the places are numbers into the
// names: those of the stores in order, then the others.
type stored struct {
	Version  int64            `json:"version"`
	Term     int64            `json:"term"`
	Founders int              `json:"founders"`
	Stores   map[string]Store `json:"stores"`
	Others   []string         `json:"others,omitempty"` // named by a partition, but no store any more
	Places   string           `json:"places"`
	// As it was written by earlier versions.
	Partitions []Partition `json:"partitions,omitempty"`
}

// readable is a placement as the operator sees it.
type Readable Placement

// MarshalJSON writes the short form: for each partition its epoch, its home and
// the stores beside it, its primary and the backups, those in step with a plus.
func (p Placement) MarshalJSON() ([]byte, error) {
	out := stored{Version: p.Version, Term: p.Term, Founders: p.InitialStores, Stores: p.Stores}
	number := map[string]int{}
	for i, name := range slices.Sorted(maps.Keys(p.Stores)) {
		number[name] = i
	}
	var places []byte
	put := func(before byte, name string) {
		n, ok := number[name]
		if !ok {
			n = len(number)
			number[name] = n
			out.Others = append(out.Others, name)
		}
		places = strconv.AppendInt(append(places, before), int64(n), 10)
	}
	for i, x := range p.Partitions {
		if i > 0 {
			places = append(places, ';')
		}
		places = strconv.AppendInt(places, x.Epoch, 10)
		put(' ', x.PreferredPrimary)
		for _, name := range x.PreferredBackups {
			put(',', name)
		}
		put(' ', x.Primary)
		for _, b := range x.Backups {
			put(',', b.Store)
			if b.InSync {
				places = append(places, '+')
			}
		}
	}
	out.Places = string(places)
	return json.Marshal(out)
}

// UnmarshalJSON reads the short form, and the form of earlier versions.
func (p *Placement) UnmarshalJSON(raw []byte) error {
	var in stored
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	out := Placement{Version: in.Version, Term: in.Term, InitialStores: in.Founders, Stores: in.Stores, Partitions: in.Partitions}
	if in.Places == "" {
		*p = out
		return nil
	}
	names := append(slices.Sorted(maps.Keys(in.Stores)), in.Others...)
	var wrong error
	name := func(number string) string {
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n >= len(names) {
			wrong = fmt.Errorf("a place names store %q of %d", number, len(names))
			return ""
		}
		return names[n]
	}
	out.Partitions = make([]Partition, 0, strings.Count(in.Places, ";")+1)
	for place := range strings.SplitSeq(in.Places, ";") {
		var x Partition
		epoch, rest, _ := strings.Cut(place, " ")
		home, now, ok := strings.Cut(rest, " ")
		var err error
		if x.Epoch, err = strconv.ParseInt(epoch, 10, 64); err != nil || !ok {
			return fmt.Errorf("the place %q cannot be read", place)
		}
		first, beside, more := strings.Cut(home, ",")
		x.PreferredPrimary = name(first)
		for more {
			first, beside, more = strings.Cut(beside, ",")
			x.PreferredBackups = append(x.PreferredBackups, name(first))
		}
		first, backups, more := strings.Cut(now, ",")
		x.Primary = name(first)
		for more {
			first, backups, more = strings.Cut(backups, ",")
			number, inStep := strings.CutSuffix(first, "+")
			x.Backups = append(x.Backups, Backup{name(number), inStep})
		}
		out.Partitions = append(out.Partitions, x)
	}
	if wrong == nil {
		*p = out
	}
	return wrong
}
