package partition

import (
	"cmp"
	"errors"
	"strconv"
	"strings"
)

// Position is a place in the log of a partition. The positions of one partition are
// unique and increase with time; they are ordered by epoch, then by order within the
// epoch. The zero value precedes all entries.
type Position struct {
	Epoch int64 `json:"e,omitempty"`
	Order int64 `json:"o,omitempty"`
}

// Compare returns -1, 0 or 1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Order, q.Order))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// String returns the text form of the position, which ParsePosition parses.
func (p Position) String() string {
	return strconv.FormatInt(p.Epoch, positionBase) + "-" + strconv.FormatInt(p.Order, positionBase)
}

// positionBase keeps the text of a position short, since every delivery carries one.
const positionBase = 36

var errPosition = errors.New("invalid log position")

// ParsePosition parses the text form of a position.
func ParsePosition(text string) (Position, error) {
	epoch, order, ok := strings.Cut(text, "-")
	if !ok {
		return Position{}, errPosition
	}
	var p Position
	var errEpoch, errOrder error
	p.Epoch, errEpoch = strconv.ParseInt(epoch, positionBase, 64)
	p.Order, errOrder = strconv.ParseInt(order, positionBase, 64)
	if errEpoch != nil || errOrder != nil || p.Epoch < 0 || p.Order < 0 {
		return Position{}, errPosition
	}
	return p, nil
}
