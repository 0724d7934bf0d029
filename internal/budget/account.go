package budget

import "container/list"

// Account is what one connection holds of a Budget. The fields are guarded by the lock
// of the budget. Its methods are safe for concurrent use. After it was evicted or closed,
// nothing can be reserved. A nil Account has no bounds.
type Account struct {
	budget  *Budget // nil: no bounds
	evict   func()
	base    int           // bytes of the connection itself
	held    int           // bytes, including base
	element *list.Element // in Budget.evictable; nil: cannot be evicted
	closed  bool
}

// Reserve reserves memory that is about to be allocated. It evicts other accounts if the
// budget is exhausted, and returns false if that does not suffice. One account may hold
// the whole budget but no more: whatever it needs beyond that is not counted, so that a
// single request of any permitted size can be served.
func (a *Account) Reserve(size int) bool {
	if a == nil || a.budget == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	if a.closed {
		b.mu.Unlock()
		return false
	}
	if b.maxBytes > 0 {
		size = min(size, b.maxBytes-a.held)
	}
	victims := b.evictLocked(a, size, 0)
	ok := b.bytesFitLocked(size)
	if ok {
		a.held += size
		b.bytes += size
	}
	report := b.pressure.record(len(victims), !ok)
	b.mu.Unlock()
	report()
	closeAll(victims)
	return ok
}

// Release returns memory that was reserved, but not that of the connection itself.
func (a *Account) Release(size int) {
	a.update(func(b *Budget) {
		size = min(size, a.held-a.base)
		a.held -= size
		b.bytes -= size
	})
}

// Reset returns all memory but that of the connection itself.
func (a *Account) Reset() {
	a.update(func(b *Budget) {
		b.bytes -= a.held - a.base
		a.held = a.base
	})
}

// SetEvictable marks the connection as active, and permits its eviction from now on.
func (a *Account) SetEvictable() {
	a.update(func(b *Budget) {
		if a.element == nil {
			a.element = b.evictable.PushBack(a)
			return
		}
		b.evictable.MoveToBack(a.element)
	})
}

// Touch marks the connection as active.
func (a *Account) Touch() {
	a.update(func(b *Budget) {
		if a.element != nil {
			b.evictable.MoveToBack(a.element)
		}
	})
}

// Pin protects the connection from eviction. It returns false if it was evicted before.
func (a *Account) Pin() bool {
	open := a == nil || a.budget == nil
	a.update(func(b *Budget) {
		b.pinLocked(a)
		open = true
	})
	return open
}

// Close returns everything that the account holds. It may be called repeatedly.
func (a *Account) Close() {
	a.update(func(b *Budget) { b.closeLocked(a) })
}

// update calls change with the lock of the budget, unless there are no bounds or the
// account is closed.
func (a *Account) update(change func(b *Budget)) {
	if a == nil || a.budget == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.closed {
		change(b)
	}
}
