package delivery

import (
	"testing"
	"time"
)

func TestNewTokenBucketIsEmpty(t *testing.T) {
	now := time.Now()
	b := newServiceQueue("x", now).pacer
	if b.take(100, 1.1, now) {
		t.Error("a new bucket has a token")
	}
	if got := b.timeUntilToken(100); got != 10*time.Millisecond {
		t.Errorf("time until the first token: %v, want 10ms", got)
	}
	if !b.take(100, 1.1, now.Add(10*time.Millisecond)) {
		t.Error("no token after 10 ms")
	}
}

func TestTokenBucketBurst(t *testing.T) {
	now := time.Now()
	for rate, want := range map[float64]int{1: 1, 20: 1, 100: 5, 1000: 50} {
		b := tokenBucket{lastRefill: now.Add(-time.Hour)}
		got := 0
		for b.take(rate, 1, now) {
			got++
		}
		if got != want {
			t.Errorf("rate %v: burst of %d, want %d", rate, got, want)
		}
	}
}

func TestRefillRate(t *testing.T) {
	for _, c := range []struct{ rate, overshoot, want float64 }{
		{100, 1, 100},
		{100, 2, 125},
		{40, 3, 60},
	} {
		if got := refillRate(c.rate, c.overshoot); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

func TestReturnToken(t *testing.T) {
	now := time.Now()
	b := tokenBucket{tokens: 1, lastRefill: now}
	if !b.take(1, 1, now) || b.take(1, 1, now) {
		t.Fatal("want exactly one token")
	}
	if b.returnToken(); !b.take(1, 1, now) {
		t.Error("the returned token is not available")
	}
}
