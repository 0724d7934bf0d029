package chain

import "testing"

// Guards against a control plane that stays blocked because no member of its view is complete,
// although a core with every committed update is running (docs/incidents/overlapping-losses.md).
// TestOverlappingLossesOfCores in package cluster reproduces the failure.
func TestRestoreSource(t *testing.T) {
	a, b, c := member("a"), member("b"), member("c")
	joined := c
	joined.SinceView = 4
	view := View{Number: 6, Members: []Member{a, joined}, Voters: members("a", "b", "c")}
	for name, test := range map[string]struct {
		statuses map[Member]*ReplicaStatus
		want     string
	}{
		"complete for the view before joining":     {statusesOf(ReplicaStatus{CompleteForView: 3}, b), "b"},
		"complete for a later view":                {statusesOf(ReplicaStatus{CompleteForView: 5}, b), "b"},
		"complete for an earlier view only":        {statusesOf(ReplicaStatus{CompleteForView: 2}, b), ""},
		"complete for no view":                     {statusesOf(ReplicaStatus{}, a, b, c), ""},
		"a member is complete":                     {mergeStatuses(statusesOf(ReplicaStatus{Complete: true, CompleteForView: 6}, a), statusesOf(ReplicaStatus{CompleteForView: 3}, b)), ""},
		"no core answers":                          {nil, ""},
		"a core with another disk is not a source": {statusesOf(ReplicaStatus{CompleteForView: 3}, Member{Address: "b", Disk: "b2"}), ""},
	} {
		if source, found := restoreSource(view, joined.SinceView, test.statuses); source.Address != test.want || found != (test.want != "") {
			t.Errorf("%s: %q, %v", name, source.Address, found)
		}
	}
}

func TestWasNeverComplete(t *testing.T) {
	self := member("c")
	view := func(since int64) View {
		m := self
		m.SinceView = since
		return View{Number: 6, Members: []Member{member("a"), m}}
	}
	for name, test := range map[string]struct {
		state durableState
		since int64 // 0: it must not restore the state
	}{
		"it left and has rejoined":                 {durableState{view: view(4), completeForView: 2, sequence: 9}, 4},
		"it is new":                                {durableState{view: view(4)}, 4},
		"it is complete":                           {durableState{view: view(4), completeForView: 6, sequence: 9}, 0},
		"an old file was restored on its disk":     {durableState{view: view(4), sequence: 9}, 0},
		"complete for the view in which it joined": {durableState{view: view(4), completeForView: 4, sequence: 9}, 0},
		"it is not a member":                       {durableState{view: View{Number: 6, Members: members("a")}, completeForView: 2}, 0},
	} {
		r := replica{durableState: test.state, self: self}
		if since, neverComplete := r.wasNeverComplete(); neverComplete != (test.since > 0) || neverComplete && since != test.since {
			t.Errorf("%s: since %d, %v", name, since, neverComplete)
		}
	}
}
