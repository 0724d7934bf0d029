package chain

import (
	"fmt"
	"slices"

	"saltreel/internal/quorum"
)

// Member is one disk at one address. A host that has lost its disk, or that returns
// at another address with an empty disk, is a different member.
type Member struct {
	Address string `json:"address"` // internal
	Disk    string `json:"disk"`
	// SinceView is the number of the view since which it has been a member without
	// interruption.
	SinceView int64 `json:"since,omitempty"`
}

// sameIdentity reports whether both are the same disk at the same address, regardless
// of SinceView.
func (m Member) sameIdentity(other Member) bool {
	return m.Address == other.Address && m.Disk == other.Disk
}

// identity returns the member without SinceView, for use as a map key.
func (m Member) identity() Member { return Member{Address: m.Address, Disk: m.Disk} }

// founderDisk is the disk name of every founder, so that all founders can construct the
// first view without communication.
const founderDisk = "founder"

// View is a numbered configuration of the chain: the order of the members, and the
// voters that choose the next view.
type View struct {
	Number  int64    `json:"number"`
	Members []Member `json:"members"` // head first; all of them are voters
	Voters  []Member `json:"voters"`
	// QuorumEpoch is the number of the view that introduced these voters.
	QuorumEpoch int64 `json:"electorate,omitempty"`
	// PreviousVoters are the voters of the previous quorum epoch, and
	// PreviousQuorumEpoch is its number.
	PreviousVoters      []Member `json:"former,omitempty"`
	PreviousQuorumEpoch int64    `json:"former-electorate,omitempty"`
}

// CountMembers counts the members of a set that satisfy a condition and reports
// whether they are a majority of the set. The condition receives members without
// SinceView.
func CountMembers(set []Member, condition func(Member) bool) (n int, majority bool) {
	for _, m := range set {
		if condition(m.identity()) {
			n++
		}
	}
	return n, quorum.Majority(n, len(set))
}

// indexOf returns the position of a member in the chain, 0 for the head, or -1 if it
// is not a member.
func (v View) indexOf(m Member) int { return slices.IndexFunc(v.Members, m.sameIdentity) }

func (v View) isVoter(m Member) bool { return slices.ContainsFunc(v.Voters, m.sameIdentity) }

// successor returns the member behind another one, and false for the tail and for cores
// that are not members.
func (v View) successor(of Member) (Member, bool) {
	if i := v.indexOf(of); i >= 0 && i+1 < len(v.Members) {
		return v.Members[i+1], true
	}
	return Member{}, false
}

// sameMembership reports whether both views have the same members in the same order
// and the same voters.
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
