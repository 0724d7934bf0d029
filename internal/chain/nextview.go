package chain

import (
	"slices"
	"time"

	"saltreel/internal/quorum"
)

// viewInput is what the rule for the next view rests on.
type viewInput struct {
	view        View
	self        Member
	active      bool                      // updates come through in this view
	statuses    map[Member]*ReplicaStatus // of the cores that answered, by identity
	candidates  []Member                  // cores heard of lately that are no voters
	answeredAt  map[Member]time.Time      // when a core last answered, by identity
	now         time.Time
	maxFailures int
	lostAfter   time.Duration // how long a voter has not answered when it may lose its vote
}

// viewDecision is what follows from a viewInput.
type viewDecision struct {
	next View
	safe bool // enough cores answered to propose next
	// neverAnswered are voters that were looked at and of which no answer is
	// known: lostAfter counts for them from now on.
	neverAnswered []Member
}

// nextView decides which view is to follow. Members that are complete come
// first and keep their order, so that the new head holds all that any of them
// does. While updates come through, the view changes by one core at a time: a
// voter that is no member joins at the tail, and once all voters that answer are
// members, the voters change. A view that is broken takes back all voters that it
// needs for a majority.
func nextView(in viewInput) viewDecision {
	d := viewDecision{next: in.view}
	d.next.Number = in.view.Number + 1
	d.next.Members = in.orderedMembers()
	d.next.Voters = slices.Clone(in.view.Voters)
	if len(d.next.Members) == 0 || d.next.indexOf(in.self) < 0 {
		return d
	}
	joined := in.joinVoters(&d.next)
	if in.active && !joined && len(d.next.Members) == len(in.view.Members) {
		in.changeVoters(&d)
	}
	d.safe = quorum.Majority(len(d.next.Members), len(d.next.Voters))
	return d
}

// status is what a core answered, or nil.
func (in *viewInput) status(of Member) *ReplicaStatus { return in.statuses[of.identity()] }

// orderedMembers are the members that answered, first those that are complete.
// There are none unless at least one of them is.
func (in *viewInput) orderedMembers() []Member {
	var complete, incomplete []Member
	for _, m := range in.view.Members {
		switch s := in.status(m); {
		case s == nil:
		case s.Complete:
			complete = append(complete, m)
		default:
			incomplete = append(incomplete, m)
		}
	}
	if len(complete) == 0 {
		return nil
	}
	return append(complete, incomplete...)
}

// joinVoters adds voters that answered and are no members at the tail.
func (in *viewInput) joinVoters(next *View) (joined bool) {
	for _, v := range in.view.Voters {
		if in.status(v) == nil || in.view.indexOf(v) >= 0 {
			continue
		}
		shouldJoin := !quorum.Majority(len(next.Members), len(next.Voters))
		if in.active {
			shouldJoin = !joined
		}
		if shouldJoin {
			next.join(v)
			joined = true
		}
	}
	return joined
}

// join adds a core at the tail.
func (v *View) join(m Member) {
	m.SinceView = v.Number
	v.Members = append(v.Members, m)
}

// changeVoters makes one more core a voter, in place of a lost one where there
// is one; or it takes the vote of a lost one that is not needed. What the voters
// store by majority beside the chain must have come over to the present ones
// before: those that come in learn it from a majority of these.
func (in *viewInput) changeVoters(d *viewDecision) {
	isReady := func(v Member) bool {
		s := in.status(v)
		return s != nil && s.VoterReady
	}
	if _, majority := CountMembers(in.view.Voters, isReady); !majority {
		return
	}
	if at := slices.IndexFunc(in.candidates, isReady); at >= 0 {
		in.addVoter(d, in.candidates[at].identity())
	} else if len(d.next.Voters) > 2*in.maxFailures+1 {
		in.removeLostVoter(d)
	}
	if !slices.Equal(d.next.Voters, in.view.Voters) {
		d.next.QuorumEpoch = d.next.Number
		d.next.PreviousVoters = in.view.Voters
		d.next.PreviousQuorumEpoch = in.view.QuorumEpoch
	}
}

// addVoter makes a core a voter and a member. It takes the place of the voter at
// its address, whose disk it replaced, else of a lost one that is no member.
func (in *viewInput) addVoter(d *viewDecision, m Member) {
	at := slices.IndexFunc(d.next.Voters, func(v Member) bool { return v.Address == m.Address })
	if at < 0 {
		at = in.lostVoter(d)
	}
	if at >= 0 && d.next.indexOf(d.next.Voters[at]) < 0 {
		d.next.Voters[at] = m
	} else {
		d.next.Voters = append(d.next.Voters, m)
	}
	d.next.join(m)
}

func (in *viewInput) removeLostVoter(d *viewDecision) {
	if at := in.lostVoter(d); at >= 0 && d.next.indexOf(d.next.Voters[at]) < 0 {
		d.next.Voters = slices.Delete(d.next.Voters, at, at+1)
	}
}

// lostVoter is the index of the first voter that has not answered for lostAfter,
// or -1.
func (in *viewInput) lostVoter(d *viewDecision) int {
	return slices.IndexFunc(d.next.Voters, func(v Member) bool {
		at, known := in.answeredAt[v.identity()]
		if !known {
			d.neverAnswered = append(d.neverAnswered, v.identity())
			return false
		}
		return in.status(v) == nil && in.now.Sub(at) > in.lostAfter
	})
}
