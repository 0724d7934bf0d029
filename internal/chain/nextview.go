package chain

import (
	"slices"
	"time"

	"saltreel/internal/quorum"
)

// viewInput is the input of nextView.
type viewInput struct {
	view         View
	self         Member
	active       bool                      // updates are committed in this view
	statuses     map[Member]*ReplicaStatus // of the cores that answered, keyed by identity
	candidates   []Member                  // cores with recent heartbeats that are not voters
	answeredAt   map[Member]time.Time      // time of the last answer of a core, keyed by identity
	now          time.Time
	hostFailures int
	lostAfter    time.Duration // a voter that has not answered for longer may be replaced
}

// viewDecision is the result of nextView.
type viewDecision struct {
	next View
	safe bool // enough cores answered to propose next
	// neverAnswered are voters that were considered for replacement and have never
	// answered. For them lostAfter counts from now.
	neverAnswered []Member
}

// nextView decides which view follows the current one. Complete members come first
// and keep their order, so that the new head holds every update that any of them
// holds. While the view is active, it changes by one core at a time: a voter that is
// not a member joins at the tail, and the set of voters changes only when all voters
// that answer are members. A view that is not active takes in as many voters as it
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

// status returns the status of a core, or nil if it did not answer.
func (in *viewInput) status(of Member) *ReplicaStatus { return in.statuses[of.identity()] }

// orderedMembers returns the members that answered, complete ones first. It returns
// nil if none of them is complete.
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

// joinVoters adds voters that answered and are not members at the tail: one if the
// view is active, or else as many as a majority needs.
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

// join adds m at the tail.
func (v *View) join(m Member) {
	m.SinceView = v.Number
	v.Members = append(v.Members, m)
}

// changeVoters adds one candidate to the voters, replacing a lost voter if there is
// one, or else removes a lost voter that is not needed. A majority of the current
// voters must be ready first, that is, hold the state that voters store by majority
// outside of the chain: a new voter obtains it from a majority of them.
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
	} else if len(d.next.Voters) > 2*in.hostFailures+1 {
		in.removeLostVoter(d)
	}
	if !slices.Equal(d.next.Voters, in.view.Voters) {
		d.next.QuorumEpoch = d.next.Number
		d.next.PreviousVoters = in.view.Voters
		d.next.PreviousQuorumEpoch = in.view.QuorumEpoch
	}
}

// addVoter adds m to the voters and members. It replaces the voter with the same
// address, which has lost its disk, or else a lost voter that is not a member.
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

// lostVoter returns the index of the first voter that has not answered for longer
// than lostAfter, or -1. It adds voters that never answered to d.neverAnswered.
func (in *viewInput) lostVoter(d *viewDecision) int {
	return slices.IndexFunc(d.next.Voters, func(v Member) bool {
		lastAnswer, known := in.answeredAt[v.identity()]
		if !known {
			d.neverAnswered = append(d.neverAnswered, v.identity())
			return false
		}
		return in.status(v) == nil && in.now.Sub(lastAnswer) > in.lostAfter
	})
}
