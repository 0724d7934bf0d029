// Package budget bounds the memory and the connections that the peers of a process can
// make it hold, however many peers there are and whatever they send.
//
// Each listener has a Budget, each of its connections an Account. Memory is reserved
// before it is allocated. If a budget is exhausted, the connections that make the least
// progress are closed first; a request that is being handled is never broken off.
package budget

import (
	"container/list"
	"sync"
)

// Budget is the memory and the number of connections of one listener. It is safe for
// concurrent use. A nil Budget has no bounds.
type Budget struct {
	maxBytes       int // 0: no bound
	maxConnections int // 0: no bound

	mu        sync.Mutex
	bytes     int
	accounts  int
	evictable list.List // of *Account, the least recently active one first
	pressure  pressure
}

// New returns a budget. A bound of 0 means that there is none.
func New(maxBytes, maxConnections int) *Budget {
	return &Budget{maxBytes: maxBytes, maxConnections: maxConnections}
}

// MaxBytes returns the memory bound in bytes; 0 if there is none.
func (b *Budget) MaxBytes() int {
	if b == nil {
		return 0
	}
	return b.maxBytes
}

// Open returns the account of a new connection that holds size bytes for as long as it
// is open, or nil if the budget is exhausted. evict closes the connection; it is called
// at most once, without any lock, and must not wait. The connection cannot be evicted
// until SetEvictable is called.
func (b *Budget) Open(size int, evict func()) *Account {
	a := &Account{budget: b, base: size, evict: evict}
	if b == nil {
		return a
	}
	b.mu.Lock()
	victims := b.evictLocked(a, size, 1)
	ok := b.fitsLocked(size, 1)
	if ok {
		a.held = size
		b.bytes += size
		b.accounts++
	}
	report := b.pressure.record(len(victims), !ok)
	b.mu.Unlock()
	report()
	closeAll(victims)
	if !ok {
		return nil
	}
	return a
}

// fitsLocked reports whether the given memory and connections are available.
func (b *Budget) fitsLocked(size, connections int) bool {
	return b.bytesFitLocked(size) && (b.maxConnections == 0 || b.accounts+connections <= b.maxConnections)
}

func (b *Budget) bytesFitLocked(size int) bool {
	return b.maxBytes == 0 || b.bytes+size <= b.maxBytes
}

// evictLocked releases accounts in favor of another one until the given memory and
// connections are available or nothing is left to evict. If memory is needed, accounts
// that hold more than their connection come first.
func (b *Budget) evictLocked(requester *Account, size, connections int) (victims []*Account) {
	for _, holdersOnly := range []bool{true, false} {
		for e := b.evictable.Front(); e != nil && !b.fitsLocked(size, connections); {
			victim := e.Value.(*Account)
			e = e.Next()
			if victim == requester || holdersOnly && (b.bytesFitLocked(size) || victim.held <= victim.base) {
				continue
			}
			b.closeLocked(victim)
			victims = append(victims, victim)
		}
	}
	return victims
}

func (b *Budget) closeLocked(a *Account) {
	if a.closed {
		return
	}
	a.closed = true
	b.bytes -= a.held
	b.accounts--
	a.held = 0
	b.pinLocked(a)
}

func (b *Budget) pinLocked(a *Account) {
	if a.element != nil {
		b.evictable.Remove(a.element)
		a.element = nil
	}
}

// closeAll closes the connections of evicted accounts.
func closeAll(victims []*Account) {
	for _, a := range victims {
		a.evict()
	}
}
