package delivery

import (
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/handler"
)

func TestOutcomesThatMakeDeadLetters(t *testing.T) {
	for _, c := range []struct {
		o            handler.Outcome
		failedBefore int
		want         bool
	}{
		{handler.Refused, 0, true},
		{handler.Failed, 0, false},
		{handler.Failed, 1, false},
		{handler.Failed, 2, true},
		{handler.Failed, 3, true},
		{handler.Done, 2, false},
		{handler.NotExecuted, 9, false},
		{handler.WrongInstance, 9, false},
		{handler.Indeterminate, 9, false},
		{handler.NoResponse, 9, false},
	} {
		if got := isDeadLetter(c.o, c.failedBefore, 3); got != c.want {
			t.Errorf("%v after %d failures: dead letter %v", c.o, c.failedBefore, got)
		}
	}
}

func TestRetryDelay(t *testing.T) {
	s := newScheduler(t, 1)
	for name, c := range map[string]struct {
		o           handler.Outcome
		attempts    int
		failed      int // failed attempts, this one included
		failureRate float64
		mean        time.Duration
	}{
		"first failure":                       {handler.Failed, 1, 1, 0, 20},
		"second failure":                      {handler.Failed, 2, 1, 0, 40},
		"no response, third attempt":          {handler.NoResponse, 3, 0, 0, 80},
		"indeterminate, fourth attempt":       {handler.Indeterminate, 4, 0, 0, 160},
		"maximum backoff":                     {handler.Failed, 50, 1, 0, 320},
		"declined":                            {handler.NotExecuted, 9, 0, 0, 20},
		"wrong instance":                      {handler.WrongInstance, 9, 0, 0, 20},
		"last attempt, service fails":         {handler.Failed, 2, 2, 0.21, 2000},
		"last attempt, service works":         {handler.Failed, 2, 2, 0.2, 40},
		"not the last attempt, service fails": {handler.Failed, 1, 1, 0.9, 20},
		"no response before the last attempt": {handler.NoResponse, 3, 2, 0.9, 80},
		"declined before the last attempt":    {handler.NotExecuted, 3, 2, 0.9, 20},
	} {
		m := &message{attempts: c.attempts, failedAttempts: c.failed, queue: &serviceQueue{failureRate: c.failureRate}}
		mean := c.mean * time.Millisecond
		for range 50 {
			if got := s.retryDelay(m, c.o, &configuration.Route{MaxAttempts: 3}); got < mean/2 || got >= mean*3/2 {
				t.Errorf("%s: delay %v, want %v ± 50%%", name, got, mean)
			}
		}
	}
}
