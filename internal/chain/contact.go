package chain

import "time"

// recentAnswers is the number of answered updates that a member remembers. The head
// sends one update at a time, so the one that it names as committed is among the last
// two; the other entries allow for duplicates.
const recentAnswers = 4

// contact records when this member provably had contact with all members of its view,
// so that no newer view was in force. It is not safe for concurrent use.
type contact struct {
	maxGap          time.Duration
	lastConfirmed   time.Time // at this time all members held the same updates
	continuousSince time.Time // no gap between two proofs has exceeded maxGap since
	recent          [recentAnswers]answeredUpdate
}

// answeredUpdate is an update that this member answered.
type answeredUpdate struct {
	position     StreamPosition
	forwardStart time.Time // when this member began to forward the update, after its arrival
}

// confirm records a proof of contact at the given time. Older proofs are ignored.
func (c *contact) confirm(at time.Time) {
	if !at.After(c.lastConfirmed) {
		return
	}
	if at.Sub(c.lastConfirmed) > c.maxGap {
		c.continuousSince = at
	}
	c.lastConfirmed = at
}

// recordAnswer records that this member, which is not the head, answered an update.
// The arrival of an update does not prove contact at the present time: it may have
// been buffered while this process was suspended or a link was down. The head sends
// an update only after the previous one has succeeded or failed. The update that it
// names as committed therefore proves contact at the time when this member began to
// forward that earlier update: from then until its answer was sent, all members before this
// one were in this view, and no member behind it had left it.
func (c *contact) recordAnswer(position StreamPosition, committedThrough int64, forwardStart time.Time) {
	committed := StreamPosition{Head: position.Head, Number: committedThrough}
	for _, answered := range c.recent {
		if answered.position == committed {
			c.confirm(answered.forwardStart)
		}
	}
	copy(c.recent[1:], c.recent[:])
	c.recent[0] = answeredUpdate{position, forwardStart}
}

// resetAnswers is called on a view change: answers given in the previous view prove
// nothing in the new one.
func (c *contact) resetAnswers() { c.recent = [recentAnswers]answeredUpdate{} }

// current reports whether the last proof of contact is still valid.
func (c *contact) current(now time.Time) bool { return now.Sub(c.lastConfirmed) < c.maxGap }
