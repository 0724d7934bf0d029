package placement

import (
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// document is the encoding of a placement on the wire and on disk. Every node decodes
// every placement, so the partitions have a compact form, in which stores are numbered:
// first those of Stores in the order of their names, then UnlistedStores. The entries of
// the partitions are separated by ";". Each has three fields separated by spaces: the
// epoch, the preferred replicas and the current replicas. Replicas are lists of store
// numbers separated by commas, primary first; "+" marks an in-sync backup:
//
//	7 0,1,2 1,0+,2
//
// Spans has an entry for each partition with spans or sources, also separated by ";":
// the index of the partition, the spans as store:from-through, and the sources.
//
//	12 0:0-6,2:7-0 0
type document struct {
	Version           int64            `json:"version"`
	Term              int64            `json:"term"`
	InitialStores     int              `json:"founders"`
	Stores            map[string]Store `json:"stores"`
	UnlistedStores    []string         `json:"others,omitempty"` // referenced by a partition, but no longer in Stores
	CompactPartitions string           `json:"places"`
	Spans             string           `json:"spans,omitempty"`
	// Partitions is the form that earlier versions wrote instead of CompactPartitions.
	Partitions []Partition `json:"partitions,omitempty"`
}

// Readable is a placement that is encoded field by field rather than in the compact
// form, for display to the operator.
type Readable Placement

// MarshalJSON encodes the placement in the compact form.
func (p Placement) MarshalJSON() ([]byte, error) {
	numbers := map[string]int{}
	for i, name := range slices.Sorted(maps.Keys(p.Stores)) {
		numbers[name] = i
	}
	var unlisted []string
	numberOf := func(name string) int {
		number, known := numbers[name]
		if !known {
			number = len(numbers)
			numbers[name] = number
			unlisted = append(unlisted, name)
		}
		return number
	}
	var compact, spans []byte
	for i := range p.Partitions {
		if i > 0 {
			compact = append(compact, ';')
		}
		compact = appendPartition(compact, &p.Partitions[i], numberOf)
	}
	for i := range p.Partitions {
		spans = appendSpans(spans, i, &p.Partitions[i], numberOf)
	}
	return json.Marshal(document{
		Version:           p.Version,
		Term:              p.Term,
		InitialStores:     p.InitialStores,
		Stores:            p.Stores,
		UnlistedStores:    unlisted,
		CompactPartitions: string(compact),
		Spans:             string(spans),
	})
}

// appendPartition appends the compact form of a partition. It calls numberOf in the
// order of the output, which determines the numbers of unlisted stores.
func appendPartition(out []byte, p *Partition, numberOf func(store string) int) []byte {
	out = strconv.AppendInt(out, p.Epoch, 10)
	out = appendStore(out, ' ', numberOf(p.PreferredPrimary))
	for _, name := range p.PreferredBackups {
		out = appendStore(out, ',', numberOf(name))
	}
	out = appendStore(out, ' ', numberOf(p.Primary))
	for _, backup := range p.Backups {
		out = appendStore(out, ',', numberOf(backup.Store))
		if backup.InSync {
			out = append(out, '+')
		}
	}
	return out
}

// appendSpans appends the entry with the spans and sources of partition i, if it has any.
func appendSpans(out []byte, i int, p *Partition, numberOf func(store string) int) []byte {
	if len(p.Spans) == 0 && len(p.Sources) == 0 {
		return out
	}
	if len(out) > 0 {
		out = append(out, ';')
	}
	out = strconv.AppendInt(out, int64(i), 10)
	out = append(out, ' ')
	for j, span := range p.Spans {
		if j > 0 {
			out = append(out, ',')
		}
		out = fmt.Appendf(out, "%d:%d-%d", numberOf(span.Store), span.From, span.Through)
	}
	out = append(out, ' ')
	for j, source := range p.Sources {
		if j > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendInt(out, int64(numberOf(source)), 10)
	}
	return out
}

func appendStore(out []byte, separator byte, number int) []byte {
	return strconv.AppendInt(append(out, separator), int64(number), 10)
}

// UnmarshalJSON decodes the compact form as well as the form of earlier versions. On an
// error the placement is unchanged.
func (p *Placement) UnmarshalJSON(raw []byte) error {
	var in document
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	out := Placement{Version: in.Version, Term: in.Term, InitialStores: in.InitialStores, Stores: in.Stores, Partitions: in.Partitions}
	if in.CompactPartitions != "" {
		d := decoder{names: append(slices.Sorted(maps.Keys(in.Stores)), in.UnlistedStores...)}
		partitions, err := d.partitions(in.CompactPartitions)
		if err != nil {
			return err
		}
		if err := d.allSpans(partitions, in.Spans); err != nil {
			return err
		}
		out.Partitions = partitions
	}
	*p = out
	return nil
}

// decoder decodes partitions from the compact form.
type decoder struct {
	names []string // names of the stores by number
}

func (d *decoder) partitions(compact string) ([]Partition, error) {
	partitions := make([]Partition, 0, strings.Count(compact, ";")+1)
	for text := range strings.SplitSeq(compact, ";") {
		partition, err := d.partition(text)
		if err != nil {
			return nil, fmt.Errorf("decode partition %d: %w", len(partitions), err)
		}
		partitions = append(partitions, partition)
	}
	return partitions, nil
}

func (d *decoder) partition(text string) (p Partition, err error) {
	epoch, stores, _ := strings.Cut(text, " ")
	preferred, current, ok := strings.Cut(stores, " ")
	if !ok {
		return p, fmt.Errorf("%q does not have three fields", text)
	}
	if p.Epoch, err = strconv.ParseInt(epoch, 10, 64); err != nil {
		return p, fmt.Errorf("epoch: %w", err)
	}
	if err := d.preferredReplicas(&p, preferred); err != nil {
		return p, err
	}
	return p, d.currentReplicas(&p, current)
}

// preferredReplicas decodes the preferred primary and backups.
func (d *decoder) preferredReplicas(p *Partition, text string) (err error) {
	number, rest, more := strings.Cut(text, ",")
	p.PreferredPrimary, err = d.store(number)
	for more && err == nil {
		var name string
		number, rest, more = strings.Cut(rest, ",")
		name, err = d.store(number)
		p.PreferredBackups = append(p.PreferredBackups, name)
	}
	return err
}

// currentReplicas decodes the primary and the backups.
func (d *decoder) currentReplicas(p *Partition, text string) (err error) {
	number, rest, more := strings.Cut(text, ",")
	p.Primary, err = d.store(number)
	for more && err == nil {
		var backup Backup
		number, rest, more = strings.Cut(rest, ",")
		number, backup.InSync = strings.CutSuffix(number, "+")
		backup.Store, err = d.store(number)
		p.Backups = append(p.Backups, backup)
	}
	return err
}

// allSpans decodes the spans and sources of all partitions that have any.
func (d *decoder) allSpans(partitions []Partition, text string) error {
	if text == "" {
		return nil
	}
	for entry := range strings.SplitSeq(text, ";") {
		fields := strings.Split(entry, " ")
		i, err := strconv.Atoi(fields[0])
		if err != nil || i < 0 || i >= len(partitions) || len(fields) != 3 {
			return fmt.Errorf("decode spans: malformed entry or unknown partition in %q", entry)
		}
		if err := d.spans(&partitions[i], fields[1], fields[2]); err != nil {
			return fmt.Errorf("decode spans of partition %d: %w", i, err)
		}
	}
	return nil
}

// spans decodes the spans and the sources of one partition.
func (d *decoder) spans(p *Partition, spans, sources string) error {
	for text := range splitList(spans) {
		number, epochs, _ := strings.Cut(text, ":")
		from, through, _ := strings.Cut(epochs, "-")
		store, err := d.store(number)
		span := Span{Store: store}
		if err == nil {
			span.From, err = strconv.ParseInt(from, 10, 64)
		}
		if err == nil {
			span.Through, err = strconv.ParseInt(through, 10, 64)
		}
		if err != nil {
			return fmt.Errorf("%q: %w", text, err)
		}
		p.Spans = append(p.Spans, span)
	}
	for number := range splitList(sources) {
		store, err := d.store(number)
		if err != nil {
			return err
		}
		p.Sources = append(p.Sources, store)
	}
	return nil
}

// splitList yields the items of a comma-separated list that may be empty.
func splitList(text string) iter.Seq[string] {
	if text == "" {
		return func(func(string) bool) {}
	}
	return strings.SplitSeq(text, ",")
}

func (d *decoder) store(number string) (string, error) {
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n >= len(d.names) {
		return "", fmt.Errorf("store number %q out of range: %d stores", number, len(d.names))
	}
	return d.names[n], nil
}
