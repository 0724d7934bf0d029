package delivery

import (
	"testing"
	"time"

	"saltreel/internal/handler"
)

// testTiming has a base ejection time of 100 ms, 50 ms for indeterminate outcomes, a maximum
// ejection time of 500 ms, and a decline backoff of 20 ms.
var testTiming = timing{4 * time.Second}

func TestEndpointStates(t *testing.T) {
	type check struct {
		after time.Duration // since the last outcome
		want  endpointState
	}
	outcomes := func(o ...handler.Outcome) []handler.Outcome { return o }
	for name, c := range map[string]struct {
		warmUp   time.Duration
		outcomes []handler.Outcome
		checks   []check
	}{
		"new":                                {0, nil, []check{{0, healthy}}},
		"warming up":                         {time.Second, nil, []check{{0, slowStart}, {999 * time.Millisecond, slowStart}, {time.Second, healthy}}},
		"responds":                           {0, outcomes(handler.Done, handler.Refused, handler.Failed), []check{{0, healthy}}},
		"no response":                        {0, outcomes(handler.NoResponse), []check{{74 * time.Millisecond, ejected}, {126 * time.Millisecond, probing}, {time.Hour, probing}}},
		"one indeterminate outcome":          {0, outcomes(handler.Indeterminate), []check{{0, healthy}}},
		"two indeterminate outcomes":         {0, outcomes(handler.Indeterminate, handler.Indeterminate), []check{{149 * time.Millisecond, ejected}, {251 * time.Millisecond, probing}}},
		"indeterminate, done, indeterminate": {0, outcomes(handler.Indeterminate, handler.Done, handler.Indeterminate), []check{{0, healthy}}},
		"declines":                           {0, outcomes(handler.NotExecuted), []check{{19 * time.Millisecond, backingOff}, {40 * time.Millisecond, healthy}}},
		"declines while warming up":          {time.Second, outcomes(handler.NotExecuted), []check{{0, backingOff}, {40 * time.Millisecond, slowStart}}},
		"ejected while warming up":           {time.Second, outcomes(handler.NoResponse), []check{{0, ejected}, {126 * time.Millisecond, probing}}},
		"done after the ejection":            {0, outcomes(handler.NoResponse, handler.Done), []check{{126 * time.Millisecond, healthy}}},
		"done during the ejection":           {0, outcomes(handler.NoResponse, handler.Done), []check{{74 * time.Millisecond, backingOff}}},
		"failed after the ejection":          {0, outcomes(handler.NoResponse, handler.Failed), []check{{126 * time.Millisecond, healthy}}},
		"declined during the ejection":       {0, outcomes(handler.NoResponse, handler.NotExecuted), []check{{19 * time.Millisecond, ejected}, {40 * time.Millisecond, probing}}},
		"wrong instance":                     {0, outcomes(handler.WrongInstance), []check{{0, healthy}}},
	} {
		now := time.Now()
		h := endpointHealth{slowStartUntil: now.Add(c.warmUp)}
		for _, o := range c.outcomes {
			h.recordOutcome(o, now, testTiming)
		}
		for _, l := range c.checks {
			if got := h.state(now.Add(l.after)); got != l.want {
				t.Errorf("%s: state %v after %v, want %v", name, got, l.after, l.want)
			}
		}
	}
}

func TestBlockedStatesAreUnavailable(t *testing.T) {
	for state, want := range map[endpointState]bool{healthy: true, slowStart: true, probing: true, backingOff: false, ejected: false} {
		if got := state.available(); got != want {
			t.Errorf("%v: available %v", state, got)
		}
	}
}

func TestEjectionTimeDoublesUpToMaximum(t *testing.T) {
	now := time.Now()
	var h endpointHealth
	for i, mean := range []time.Duration{100, 200, 400, 500, 500, 500, 500, 500, 500} {
		mean *= time.Millisecond
		h.recordOutcome(handler.NoResponse, now, testTiming)
		if got := h.blockedUntil.Sub(now); got < mean*3/4 || got > mean*5/4 {
			t.Errorf("failure %d: ejected for %v, want %v ± 25%%", i+1, got, mean)
		}
	}
	h.recordOutcome(handler.Done, now, testTiming)
	h.recordOutcome(handler.NoResponse, now, testTiming)
	if got := h.blockedUntil.Sub(now); got > 125*time.Millisecond {
		t.Errorf("ejected for %v after a success, want the base ejection time", got)
	}
}

func TestFailureRateMovingAverage(t *testing.T) {
	for _, c := range []struct {
		before float64
		o      handler.Outcome
		want   float64
	}{
		{0, handler.Failed, 0.125},
		{0, handler.NoResponse, 0.125},
		{0, handler.Indeterminate, 0.125},
		{0, handler.WrongInstance, 0.125},
		{1, handler.Done, 0.875},
		{1, handler.Refused, 0.875},
		{0.5, handler.NotExecuted, 0.5}, // not executed
	} {
		h := endpointHealth{failureRate: c.before}
		if h.recordOutcome(c.o, time.Now(), testTiming); h.failureRate != c.want {
			t.Errorf("%v at rate %v: %v, want %v", c.o, c.before, h.failureRate, c.want)
		}
	}
}
