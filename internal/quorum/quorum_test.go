package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func TestMajority(t *testing.T) {
	for _, test := range []struct {
		granted, voters int
		want            bool
	}{
		{0, 0, false}, {0, 1, false}, {1, 1, true}, {1, 2, false}, {2, 2, true},
		{1, 3, false}, {2, 3, true}, {2, 4, false}, {3, 4, true}, {2, 5, false}, {3, 5, true},
	} {
		if got := Majority(test.granted, test.voters); got != test.want {
			t.Errorf("%d of %d: %v", test.granted, test.voters, got)
		}
	}
}

// voter is the scripted behavior of one voter: after a delay it grants, refuses or fails.
type voter struct {
	after time.Duration
	grant bool
	err   error
}

// testVoters maps the name of a voter to its behavior.
type testVoters map[string]voter

func (v testVoters) call(ctx context.Context, name, request string) (bool, error) {
	if request != testRequest {
		return false, fmt.Errorf("%s received request %q", name, request)
	}
	select {
	case <-time.After(v[name].after):
		return v[name].grant, v[name].err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

const testRequest = "request"

func isTrue(granted bool) bool { return granted }

func TestCollect(t *testing.T) {
	errDown := errors.New("down")
	grants := func(after time.Duration) voter { return voter{after: after, grant: true} }
	refuses := func(after time.Duration) voter { return voter{after: after} }
	fails := func(after time.Duration) voter { return voter{after: after, err: errDown} }
	const timeout = 100
	for _, test := range []struct {
		name      string
		voters    []voter
		responses int
		granted   int
		took      time.Duration
	}{
		{"no voters", nil, 0, 0, 0},
		{"returns at the first majority", []voter{grants(1), grants(2), grants(3)}, 2, 2, 2},
		{"a refusal counts as a response", []voter{refuses(1), grants(2), grants(3)}, 3, 2, 3},
		{"a failure does not count as a response", []voter{fails(1), grants(2), grants(3)}, 2, 2, 3},
		{"without a majority waits for all voters", []voter{grants(1), refuses(2), refuses(3)}, 3, 1, 3},
		{"half of the voters is not a majority", []voter{grants(1), grants(2), fails(3), fails(4)}, 2, 2, 4},
		{"a voter that does not answer before the deadline", []voter{grants(1), refuses(2), grants(1000)}, 2, 1, timeout},
		{"a majority does not wait for a voter that does not answer", []voter{grants(1000), grants(1), grants(2)}, 2, 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				voters := testVoters{}
				var names []string
				for i, v := range test.voters {
					name := fmt.Sprint("v", i)
					names = append(names, name)
					voters[name] = v
				}
				began := time.Now()
				responses := Collect(ctx, names, testRequest, isTrue, voters.call)
				if took := time.Since(began); took != test.took {
					t.Errorf("took %v", took)
				}
				granted := len(slices.DeleteFunc(slices.Clone(responses), func(r bool) bool { return !r }))
				if len(responses) != test.responses || granted != test.granted {
					t.Errorf("%d responses, %d of them granted", len(responses), granted)
				}
			})
		})
	}
}
