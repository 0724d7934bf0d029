package delivery

import (
	"testing"
	"time"

	"saltreel/internal/handler"
)

// testTiming has an ejection of 100 ms, of 50 ms for unclear outcomes, of 500 ms
// at the most, and a backoff of 20 ms.
var testTiming = timing{4 * time.Second}

func TestEndpointStates(t *testing.T) {
	type look struct {
		after time.Duration // since the last outcome
		want  endpointState
	}
	outcomes := func(o ...handler.Outcome) []handler.Outcome { return o }
	for name, c := range map[string]struct {
		warmUp   time.Duration
		outcomes []handler.Outcome
		looks    []look
	}{
		"new":                        {0, nil, []look{{0, healthy}}},
		"warming up":                 {time.Second, nil, []look{{0, slowStart}, {999 * time.Millisecond, slowStart}, {time.Second, healthy}}},
		"answers":                    {0, outcomes(handler.Done, handler.Refused, handler.Failed), []look{{0, healthy}}},
		"does not answer":            {0, outcomes(handler.NoResponse), []look{{74 * time.Millisecond, ejected}, {126 * time.Millisecond, probing}, {time.Hour, probing}}},
		"one unclear outcome":        {0, outcomes(handler.Indeterminate), []look{{0, healthy}}},
		"two unclear outcomes":       {0, outcomes(handler.Indeterminate, handler.Indeterminate), []look{{149 * time.Millisecond, ejected}, {251 * time.Millisecond, probing}}},
		"unclear, done, unclear":     {0, outcomes(handler.Indeterminate, handler.Done, handler.Indeterminate), []look{{0, healthy}}},
		"declines":                   {0, outcomes(handler.NotExecuted), []look{{19 * time.Millisecond, backingOff}, {40 * time.Millisecond, healthy}}},
		"declines while warming up":  {time.Second, outcomes(handler.NotExecuted), []look{{0, backingOff}, {40 * time.Millisecond, slowStart}}},
		"ejected while warming up":   {time.Second, outcomes(handler.NoResponse), []look{{0, ejected}, {126 * time.Millisecond, probing}}},
		"done after the ejection":    {0, outcomes(handler.NoResponse, handler.Done), []look{{126 * time.Millisecond, healthy}}},
		"done within the ejection":   {0, outcomes(handler.NoResponse, handler.Done), []look{{74 * time.Millisecond, backingOff}}},
		"failed after the ejection":  {0, outcomes(handler.NoResponse, handler.Failed), []look{{126 * time.Millisecond, healthy}}},
		"declined in the ejection":   {0, outcomes(handler.NoResponse, handler.NotExecuted), []look{{19 * time.Millisecond, ejected}, {40 * time.Millisecond, probing}}},
		"another one at the address": {0, outcomes(handler.WrongInstance), []look{{0, healthy}}},
	} {
		now := time.Now()
		h := endpointHealth{slowStartUntil: now.Add(c.warmUp)}
		for _, o := range c.outcomes {
			h.recordOutcome(o, now, testTiming)
		}
		for _, l := range c.looks {
			if got := h.state(now.Add(l.after)); got != l.want {
				t.Errorf("%s: %v after %v, not %v", name, got, l.after, l.want)
			}
		}
	}
}

func TestOnlyBlockedStatesAreUnavailable(t *testing.T) {
	for state, want := range map[endpointState]bool{healthy: true, slowStart: true, probing: true, backingOff: false, ejected: false} {
		if got := state.available(); got != want {
			t.Errorf("%v: available %v", state, got)
		}
	}
}

func TestEjectionTimeDoublesUpToItsBound(t *testing.T) {
	now := time.Now()
	var h endpointHealth
	for i, mean := range []time.Duration{100, 200, 400, 500, 500, 500, 500, 500, 500} {
		mean *= time.Millisecond
		h.recordOutcome(handler.NoResponse, now, testTiming)
		if got := h.blockedUntil.Sub(now); got < mean*3/4 || got > mean*5/4 {
			t.Errorf("failure %d: ejected for %v, not about %v", i+1, got, mean)
		}
	}
	h.recordOutcome(handler.Done, now, testTiming)
	h.recordOutcome(handler.NoResponse, now, testTiming)
	if got := h.blockedUntil.Sub(now); got > 125*time.Millisecond {
		t.Errorf("ejected for %v after a success", got)
	}
}

func TestFailureRateIsSmoothed(t *testing.T) {
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
		{0.5, handler.NotExecuted, 0.5}, // it did not run
	} {
		h := endpointHealth{failureRate: c.before}
		if h.recordOutcome(c.o, time.Now(), testTiming); h.failureRate != c.want {
			t.Errorf("%v at %v: %v, not %v", c.o, c.before, h.failureRate, c.want)
		}
	}
}
