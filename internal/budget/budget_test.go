package budget

import (
	"testing"

	"pgregory.net/rapid"

	"saltreel/internal/settings"
)

const connectionSize = 10

// opened opens an account that can be evicted, and counts its evictions.
func opened(t *testing.T, b *Budget) (a *Account, evictions *int) {
	t.Helper()
	evictions = new(int)
	a = b.Open(connectionSize, func() { *evictions++ })
	if a == nil {
		t.Fatal("the connection was refused")
	}
	a.SetEvictable()
	return a, evictions
}

func TestLeastRecentlyActiveHolderIsEvictedFirst(t *testing.T) {
	b := New(100, 0)
	idle, idleEvictions := opened(t, b)
	stalled, stalledEvictions := opened(t, b)
	active, activeEvictions := opened(t, b)
	if !stalled.Reserve(30) || !active.Reserve(30) {
		t.Fatal("reservations within the budget were refused")
	}
	stalled.Touch()
	active.Touch()
	requester, _ := opened(t, b)
	if !requester.Reserve(30) {
		t.Fatal("the reservation was refused")
	}
	if *idleEvictions != 0 || *stalledEvictions != 1 || *activeEvictions != 0 {
		t.Errorf("evictions: idle %d, stalled %d, active %d; want only the stalled one", *idleEvictions, *stalledEvictions, *activeEvictions)
	}
	if stalled.Reserve(1) {
		t.Error("an evicted account reserved memory")
	}
	if stalled.Pin() || !idle.Pin() {
		t.Error("Pin must fail for the evicted account only")
	}
}

func TestPinnedAccountsAreNotEvicted(t *testing.T) {
	b := New(100, 2)
	handled, evictions := opened(t, b)
	if !handled.Reserve(60) || !handled.Pin() {
		t.Fatal("the request was refused")
	}
	other, _ := opened(t, b)
	if other.Reserve(50) {
		t.Error("more was reserved than the budget has")
	}
	if refused := b.Open(10, func() {}); refused == nil || !other.closed || *evictions != 0 {
		t.Error("a new connection must take the place of the one that can be evicted")
	}
	if b.pressure.evictions != 1 || b.pressure.refusals != 1 {
		t.Errorf("counted %d evictions and %d refusals, want one of each", b.pressure.evictions, b.pressure.refusals)
	}
}

// A single request may need more than the whole budget.
func TestSingleRequestOfAnySizeIsServed(t *testing.T) {
	b := New(100, 0)
	_, evictions := opened(t, b)
	large, _ := opened(t, b)
	if !large.Reserve(80) || !large.Reserve(500) {
		t.Error("the only request was refused")
	}
	if *evictions != 1 || b.bytes != 100 {
		t.Errorf("evictions %d, bytes %d; want the idle connection evicted and the budget full", *evictions, b.bytes)
	}
	large.Reset()
	if b.bytes != 10 {
		t.Errorf("%d bytes held after the request, want those of the connection", b.bytes)
	}
}

// What is refused is logged, but not each time.
func TestPressureIsLogged(t *testing.T) {
	lines := 0
	b := New(0, 1).logging("clients", func(string, ...any) { lines++ })
	for range 10 {
		opened(t, b)
	}
	if lines != 1 || b.pressure.evictions != 8 {
		t.Errorf("%d log lines, %d evictions left to log; want 1 and 8", lines, b.pressure.evictions)
	}
}

func TestNilBudgetHasNoBounds(t *testing.T) {
	var b *Budget
	a := b.Open(1<<40, func() { t.Error("evicted") })
	if !a.Reserve(1<<40) || !a.Pin() {
		t.Error("refused without bounds")
	}
	a.Close()
}

// The budget never exceeds its bounds, and its sums match its accounts.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.IntRange(20, 200).Draw(t, "bytes"), rapid.IntRange(1, 10).Draw(t, "connections"))
		var accounts []*Account
		pick := func(t *rapid.T) *Account {
			if len(accounts) == 0 {
				t.Skip("no account")
			}
			return rapid.SampledFrom(accounts).Draw(t, "account")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if a := b.Open(10, func() {}); a != nil {
					accounts = append(accounts, a)
				}
			},
			"reserve":   func(t *rapid.T) { pick(t).Reserve(rapid.IntRange(0, 300).Draw(t, "size")) },
			"release":   func(t *rapid.T) { pick(t).Release(rapid.IntRange(0, 300).Draw(t, "size")) },
			"reset":     func(t *rapid.T) { pick(t).Reset() },
			"evictable": func(t *rapid.T) { pick(t).SetEvictable() },
			"pin": func(t *rapid.T) {
				a := pick(t)
				if a.Pin() == a.closed {
					t.Fatal("Pin must succeed for open accounts only")
				}
			},
			"close": func(t *rapid.T) { pick(t).Close() },
			"":      func(t *rapid.T) { checkSums(t, b, accounts) },
		})
	})
}

func checkSums(t *rapid.T, b *Budget, accounts []*Account) {
	bytes, open, evictable := 0, 0, 0
	for _, a := range accounts {
		bytes += a.held
		if !a.closed {
			open++
		}
		if a.element != nil {
			evictable++
		}
	}
	if b.bytes != bytes || b.accounts != open || b.evictable.Len() != evictable {
		t.Fatalf("sums %d, %d, %d; the accounts hold %d, %d, %d", b.bytes, b.accounts, b.evictable.Len(), bytes, open, evictable)
	}
	if b.bytes > b.maxBytes || b.accounts > b.maxConnections {
		t.Fatalf("%d of %d bytes, %d of %d connections", b.bytes, b.maxBytes, b.accounts, b.maxConnections)
	}
}

// The listeners of a process together stay below the limits of the process.
func TestSharesOfAProcess(t *testing.T) {
	limits := &settings.Limits{MemoryMb: 102, MaxFds: 512}
	l := ForClients(limits, nil)
	bytes := l.Clients.maxBytes + l.Internal.maxBytes + l.Readiness.maxBytes
	if most := 102 << 20 / peerMemoryDivisor; bytes > most {
		t.Errorf("%d bytes for all listeners, want at most %d", bytes, most)
	}
	connections := 2*l.Clients.maxConnections + l.Internal.maxConnections + l.Readiness.maxConnections
	if most := 512 - reservedDescriptors; connections > most {
		t.Errorf("%d descriptors, want at most %d", connections, most)
	}
	if unset := ForStore(&settings.Limits{}, nil); unset.maxBytes != 0 || unset.maxConnections != 0 {
		t.Error("limits that are not set must not bound anything")
	}
}
