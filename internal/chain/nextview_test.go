package chain

import (
	"slices"
	"testing"
	"time"
)

// member returns the founder at an address, a member since view 1.
func member(address string) Member { return Member{Address: address, Disk: founderDisk, SinceView: 1} }

func members(list ...string) []Member {
	var out []Member
	for _, address := range list {
		out = append(out, member(address))
	}
	return out
}

// statusesOf maps the identity of each member to the same status.
func statusesOf(status ReplicaStatus, list ...Member) map[Member]*ReplicaStatus {
	out := map[Member]*ReplicaStatus{}
	for _, m := range list {
		out[m.identity()] = &status
	}
	return out
}

func mergeStatuses(parts ...map[Member]*ReplicaStatus) map[Member]*ReplicaStatus {
	out := map[Member]*ReplicaStatus{}
	for _, part := range parts {
		for m, s := range part {
			out[m] = s
		}
	}
	return out
}

func TestNextView(t *testing.T) {
	complete := ReplicaStatus{Complete: true, VoterReady: true}
	incomplete := ReplicaStatus{VoterReady: true}
	notReady := ReplicaStatus{Complete: true}
	now := time.Unix(1000, 0)
	a, b, c := member("a"), member("b"), member("c")
	newcomer := Member{Address: "d", Disk: "d1"}
	replacement := Member{Address: "c", Disk: "c2"}
	abc := View{Number: 4, Members: members("a", "b", "c"), Voters: members("a", "b", "c"), QuorumEpoch: 1}
	ab := View{Number: 4, Members: members("a", "b"), Voters: members("a", "b", "c"), QuorumEpoch: 1}
	fourVoters := View{Number: 4, Members: members("a", "b", "c"), Voters: members("a", "b", "c", "e"), QuorumEpoch: 3}
	joined := func(m Member) Member {
		m.SinceView = 5
		return m
	}
	longAgo := map[Member]time.Time{c.identity(): now.Add(-time.Minute), member("e").identity(): now.Add(-time.Minute)}
	justNow := map[Member]time.Time{c.identity(): now.Add(-time.Second), member("e").identity(): now.Add(-time.Second)}

	for _, test := range []struct {
		name          string
		in            viewInput
		safe          bool
		members       []Member
		voters        []Member
		newEpoch      bool
		neverAnswered []Member
	}{
		{
			name:    "no change if all members answer",
			in:      viewInput{view: abc, active: true, statuses: statusesOf(complete, a, b, c)},
			safe:    true,
			members: abc.Members, voters: abc.Voters,
		},
		{
			name:    "a lost member leaves the chain and keeps its vote",
			in:      viewInput{view: abc, statuses: statusesOf(complete, a, b)},
			safe:    true,
			members: members("a", "b"), voters: abc.Voters,
		},
		{
			name:    "a minority must not form a view",
			in:      viewInput{view: abc, statuses: statusesOf(complete, a)},
			safe:    false,
			members: members("a"), voters: abc.Voters,
		},
		{
			name:    "an incomplete head moves behind the complete members",
			in:      viewInput{view: abc, statuses: mergeStatuses(statusesOf(incomplete, a), statusesOf(complete, b, c))},
			safe:    true,
			members: members("b", "c", "a"), voters: abc.Voters,
		},
		{
			name:    "no view without a complete member",
			in:      viewInput{view: abc, statuses: statusesOf(incomplete, a, b, c)},
			safe:    false,
			members: nil, voters: abc.Voters,
		},
		{
			name:    "no view without the status of this core",
			in:      viewInput{view: abc, statuses: statusesOf(complete, b, c)},
			safe:    false,
			members: members("b", "c"), voters: abc.Voters,
		},
		{
			name:    "a voter that returns joins an active view at the tail",
			in:      viewInput{view: ab, active: true, statuses: statusesOf(complete, a, b, c)},
			safe:    true,
			members: []Member{a, b, joined(c)}, voters: ab.Voters,
		},
		{
			name: "only one voter joins an active view at a time",
			in: viewInput{view: View{Number: 4, Members: members("a"), Voters: members("a", "b", "c")}, active: true,
				statuses: statusesOf(complete, a, b, c)},
			safe:    true,
			members: []Member{a, joined(b)}, voters: members("a", "b", "c"),
		},
		{
			name: "an inactive view adds as many voters as a majority needs",
			in: viewInput{view: View{Number: 4, Members: members("a"), Voters: members("a", "b", "c", "d", "e")},
				statuses: statusesOf(complete, members("a", "b", "c", "d", "e")...)},
			safe:    true,
			members: []Member{a, joined(b), joined(c)}, voters: members("a", "b", "c", "d", "e"),
		},
		{
			name:    "an inactive view with a majority adds no voter",
			in:      viewInput{view: ab, statuses: statusesOf(complete, a, b, c)},
			safe:    true,
			members: ab.Members, voters: ab.Voters,
		},
		{
			name: "a ready candidate becomes a voter and member",
			in: viewInput{view: abc, active: true, candidates: []Member{newcomer},
				statuses: statusesOf(complete, a, b, c, newcomer)},
			safe:    true,
			members: []Member{a, b, c, joined(newcomer)}, voters: append(members("a", "b", "c"), newcomer), newEpoch: true,
		},
		{
			name: "a candidate that is not ready is not added",
			in: viewInput{view: abc, active: true, candidates: []Member{newcomer},
				statuses: mergeStatuses(statusesOf(complete, a, b, c), statusesOf(notReady, newcomer))},
			safe:    true,
			members: abc.Members, voters: abc.Voters,
		},
		{
			name: "an inactive view adds no candidate",
			in: viewInput{view: abc, candidates: []Member{newcomer},
				statuses: statusesOf(complete, a, b, c, newcomer)},
			safe:    true,
			members: abc.Members, voters: abc.Voters,
		},
		{
			name: "the voters change only if a majority of them is ready",
			in: viewInput{view: abc, active: true, candidates: []Member{newcomer},
				statuses: mergeStatuses(statusesOf(complete, a, newcomer), statusesOf(notReady, b, c))},
			safe:    true,
			members: abc.Members, voters: abc.Voters,
		},
		{
			name: "a new disk replaces the voter at its address",
			in: viewInput{view: ab, active: true, candidates: []Member{replacement},
				statuses: statusesOf(complete, a, b, replacement), answeredAt: justNow},
			safe:    true,
			members: []Member{a, b, joined(replacement)}, voters: append(members("a", "b"), replacement), newEpoch: true,
		},
		{
			name: "a candidate replaces a lost voter",
			in: viewInput{view: ab, active: true, candidates: []Member{newcomer},
				statuses: statusesOf(complete, a, b, newcomer), answeredAt: longAgo},
			safe:    true,
			members: []Member{a, b, joined(newcomer)}, voters: append(members("a", "b"), newcomer), newEpoch: true,
		},
		{
			name: "a voter that answered recently remains a voter",
			in: viewInput{view: ab, active: true, candidates: []Member{newcomer},
				statuses: statusesOf(complete, a, b, newcomer), answeredAt: justNow},
			safe:    true,
			members: []Member{a, b, joined(newcomer)}, voters: append(members("a", "b", "c"), newcomer), newEpoch: true,
			neverAnswered: []Member{a.identity(), b.identity()},
		},
		{
			name: "lostAfter counts from now for a voter that never answered",
			in: viewInput{view: ab, active: true, candidates: []Member{newcomer},
				statuses: statusesOf(complete, a, b, newcomer)},
			safe:    true,
			members: []Member{a, b, joined(newcomer)}, voters: append(members("a", "b", "c"), newcomer), newEpoch: true,
			neverAnswered: []Member{a.identity(), b.identity(), c.identity()},
		},
		{
			name: "a lost voter that is not needed is removed",
			in: viewInput{view: fourVoters, active: true,
				statuses: statusesOf(complete, a, b, c), answeredAt: longAgo},
			safe:    true,
			members: fourVoters.Members, voters: members("a", "b", "c"), newEpoch: true,
		},
		{
			name: "a lost voter that is needed remains a voter",
			in: viewInput{view: ab, active: true,
				statuses: statusesOf(complete, a, b), answeredAt: longAgo},
			safe:    true,
			members: ab.Members, voters: ab.Voters,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := test.in
			in.self, in.now, in.hostFailures, in.lostAfter = a, now, 1, 2*time.Second
			before := in.view.String()
			d := nextView(in)
			if d.safe != test.safe || d.next.Number != in.view.Number+1 {
				t.Errorf("view %d, safe %v", d.next.Number, d.safe)
			}
			if !slices.Equal(d.next.Members, test.members) || !slices.Equal(d.next.Voters, test.voters) {
				t.Errorf("members %v, voters %v", d.next.Members, d.next.Voters)
			}
			checkQuorumEpoch(t, in.view, d.next, test.newEpoch)
			if test.neverAnswered != nil && !slices.Equal(d.neverAnswered, test.neverAnswered) {
				t.Errorf("never answered: %v", d.neverAnswered)
			}
			if in.view.String() != before {
				t.Errorf("the current view was modified: %v", in.view)
			}
		})
	}
}

// checkQuorumEpoch checks that next starts a new quorum epoch and names the previous
// voters if and only if the voters have changed.
func checkQuorumEpoch(t *testing.T, view, next View, changed bool) {
	t.Helper()
	if !changed {
		if next.QuorumEpoch != view.QuorumEpoch || next.PreviousVoters != nil {
			t.Errorf("quorum epoch %d after %v", next.QuorumEpoch, next.PreviousVoters)
		}
		return
	}
	if next.QuorumEpoch != next.Number || next.PreviousQuorumEpoch != view.QuorumEpoch || !slices.Equal(next.PreviousVoters, view.Voters) {
		t.Errorf("quorum epoch %d after %d of %v", next.QuorumEpoch, next.PreviousQuorumEpoch, next.PreviousVoters)
	}
}
