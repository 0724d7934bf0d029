package registry

import (
	"errors"
	"fmt"
	"testing"

	"saltreel/internal/chain"
)

func members(names ...string) []chain.Member {
	var out []chain.Member
	for _, name := range names {
		out = append(out, chain.Member{Address: name, Disk: "disk-" + name})
	}
	return out
}

func TestCompletenessNeedsAQuorumOfCompleteVoters(t *testing.T) {
	const self = "a"
	view := chain.View{Voters: members("a", "b", "c"), QuorumEpoch: 9, PreviousVoters: members("a", "x", "y"), PreviousQuorumEpoch: 4}
	type response struct {
		from                   string
		inForce, completeEpoch int64
	}
	for name, c := range map[string]struct {
		own       int64
		responses []response
		n         int
		complete  bool
	}{
		"no responses":                                  {0, nil, 0, false},
		"one complete voter":                            {0, []response{{"b", 9, 9}}, 1, false},
		"two complete voters":                           {0, []response{{"b", 9, 9}, {"c", 9, 9}}, 2, true},
		"self and one":                                  {9, []response{{"b", 9, 9}}, 2, true},
		"a voter that is not complete":                  {9, []response{{"b", 9, 8}}, 1, false},
		"a voter that has not installed the view":       {9, []response{{"b", 8, 9}}, 1, false},
		"the previous voters":                           {0, []response{{"x", 9, 4}, {"y", 9, 4}}, 2, true},
		"the previous voters, one still in their epoch": {0, []response{{"x", 9, 4}, {"y", 4, 4}}, 1, false},
		"self, complete for the previous epoch":         {4, []response{{"x", 9, 4}}, 2, true},
		"a core that is not a voter":                    {9, []response{{"z", 9, 9}}, 1, false},
		"a different disk":                              {9, []response{{"b/other", 9, 9}}, 1, false},
	} {
		responses := loadResponses{}
		for _, r := range c.responses {
			member := members(r.from)[0]
			if r.from == "b/other" {
				member = chain.Member{Address: "b", Disk: "other"}
			}
			responses[member] = &SyncResponse{View: &chain.View{QuorumEpoch: r.inForce}, CompleteEpoch: r.completeEpoch}
		}
		if n, ok := responses.hasQuorum(view, members(self)[0], c.own); ok != c.complete || ok && n != c.n {
			t.Errorf("%s: got %v with %d cores", name, ok, n)
		}
	}
}

func TestStatusCodesOfErrors(t *testing.T) {
	wrongEpoch := &WrongEpochError{Requested: 1, InForce: 2, Complete: 2}
	for _, c := range []struct {
		err  error
		code int
	}{
		{wrongEpoch, 409},
		{fmt.Errorf("wrapped: %w", wrongEpoch), 409},
		{&NoQuorumError{wrongEpoch}, 503},
		{errors.New("other"), 0},
		{errNotComplete, 0},
	} {
		if got := StatusCode(c.err); got != c.code {
			t.Errorf("%v: got %d, want %d", c.err, got, c.code)
		}
	}
}
