package chain

import "time"

// recentAnswers is how many answered updates a member remembers. The head sends
// one at a time, so the one that it names as committed is among the last two;
// the others allow for duplicates.
const recentAnswers = 4

// contact records when this member was provably in contact with all members of
// its view, so that no other view was in force. It has no lock.
type contact struct {
	maxGap          time.Duration
	lastConfirmed   time.Time // at that moment all members held what this one held
	continuousSince time.Time // from then on there was no gap longer than maxGap
	recent          [recentAnswers]answeredUpdate
}

// answeredUpdate is an update that this member answered, and when it came in.
type answeredUpdate struct {
	position StreamPosition
	received time.Time
}

// confirm records a proof of contact.
func (c *contact) confirm(at time.Time) {
	if !at.After(c.lastConfirmed) {
		return
	}
	if at.Sub(c.lastConfirmed) > c.maxGap {
		c.continuousSince = at
	}
	c.lastConfirmed = at
}

// recordAnswer records that a member behind the head answered an update. That it
// arrived proves nothing about now: it may have been in a buffer while this
// process was frozen or a link was cut. But the head sends it only after the one
// before has succeeded or failed. So the update that it names as committed
// proves contact at the moment when this member received that one: from then
// until its answer was on the way, all members before it were in this view, and
// none behind it had left it.
func (c *contact) recordAnswer(position StreamPosition, committedThrough int64, received time.Time) {
	committed := StreamPosition{Head: position.Head, Number: committedThrough}
	for _, answered := range c.recent {
		if answered.position == committed {
			c.confirm(answered.received)
		}
	}
	copy(c.recent[1:], c.recent[:])
	c.recent[0] = answeredUpdate{position, received}
}

// resetAnswers is for a new view: answers of the one before prove nothing in it.
func (c *contact) resetAnswers() { c.recent = [recentAnswers]answeredUpdate{} }

// current tells whether the last proof of contact still counts.
func (c *contact) current(now time.Time) bool { return now.Sub(c.lastConfirmed) < c.maxGap }
