package chain

import (
	"fmt"
	"slices"

	"saltreel/internal/quorum"
)

// Member is one disk in one machine. A machine that lost its disk, or that came
// with an empty one to another address, is another member.
type Member struct {
	Address string `json:"address"` // internal
	Disk    string `json:"disk"`
	// SinceView is the view from which on it has been a member without a gap.
	SinceView int64 `json:"since,omitempty"`
}

// sameIdentity tells whether both are the same disk in the same machine, since whichever
// view.
func (m Member) sameIdentity(other Member) bool {
	return m.Address == other.Address && m.Disk == other.Disk
}

// identity is the member without the view that it came in with, for map keys.
func (m Member) identity() Member { return Member{Address: m.Address, Disk: m.Disk} }

// founderDisk names the disk of each founder: so all of them know the first view
// without any communication.
const founderDisk = "founder"

// View is a numbered order of the members, and who votes on the view after it.
type View struct {
	Number  int64    `json:"number"`
	Members []Member `json:"members"` // the head first; all of them are voters
	Voters  []Member `json:"voters"`
	// QuorumEpoch is the number of the view with which these voters came in.
	QuorumEpoch int64 `json:"electorate,omitempty"`
	// PreviousVoters are the voters before them, and PreviousQuorumEpoch is theirs.
	PreviousVoters      []Member `json:"former,omitempty"`
	PreviousQuorumEpoch int64    `json:"former-electorate,omitempty"`
}

// CountMembers counts the members of a set for which a condition holds, and tells
// whether they are a majority of it. The condition gets members without SinceView.
func CountMembers(set []Member, condition func(Member) bool) (n int, majority bool) {
	for _, m := range set {
		if condition(m.identity()) {
			n++
		}
	}
	return n, quorum.Majority(n, len(set))
}

// indexOf is the position of a member in the chain, 0 for the head, -1 if it is
// none.
func (v View) indexOf(m Member) int { return slices.IndexFunc(v.Members, m.sameIdentity) }

func (v View) isVoter(m Member) bool { return slices.ContainsFunc(v.Voters, m.sameIdentity) }

// successor is the member behind another one; none for the tail.
func (v View) successor(of Member) (Member, bool) {
	if i := v.indexOf(of); i >= 0 && i+1 < len(v.Members) {
		return v.Members[i+1], true
	}
	return Member{}, false
}

// sameMembership tells whether both views have the same chain and voters.
func (v View) sameMembership(other View) bool {
	return slices.Equal(v.Members, other.Members) && slices.Equal(v.Voters, other.Voters)
}

func (v View) String() string {
	return fmt.Sprintf("%d: %v, voters %v", v.Number, addresses(v.Members), addresses(v.Voters))
}

func addresses(members []Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Address)
	}
	return list
}
