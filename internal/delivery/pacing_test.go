package delivery

import (
	"testing"
	"time"
)

func TestNewTokenBucketIsEmpty(t *testing.T) {
	now := time.Now()
	b := newServiceQueue("x", now).pacer
	if b.take(100, 1.1, now) {
		t.Error("a token at once")
	}
	if got := b.timeUntilToken(100); got != 10*time.Millisecond {
		t.Errorf("a token in %v", got)
	}
	if !b.take(100, 1.1, now.Add(10*time.Millisecond)) {
		t.Error("no token after its time")
	}
}

func TestTokenBucketHoldsFiftyMilliseconds(t *testing.T) {
	now := time.Now()
	for rate, want := range map[float64]int{1: 1, 20: 1, 100: 5, 1000: 50} {
		b := tokenBucket{lastRefill: now.Add(-time.Hour)}
		got := 0
		for b.take(rate, 1, now) {
			got++
		}
		if got != want {
			t.Errorf("rate %v: a burst of %d, not %d", rate, got, want)
		}
	}
}

func TestPacedRateStaysBelowTheOvershoot(t *testing.T) {
	for _, c := range []struct{ rate, overshoot, want float64 }{
		{100, 1, 100},
		{100, 2, 125},
		{40, 3, 60},
	} {
		if got := refillRate(c.rate, c.overshoot); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestReturnedTokenIsUsedAgain(t *testing.T) {
	now := time.Now()
	b := tokenBucket{tokens: 1, lastRefill: now}
	if !b.take(1, 1, now) || b.take(1, 1, now) {
		t.Fatal("not exactly one token")
	}
	if b.returnToken(); !b.take(1, 1, now) {
		t.Error("the token that was put back is lost")
	}
}
