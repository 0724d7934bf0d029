package chain

import (
	"fmt"
	"maps"
	"time"
)

// durableState is what a replica has on disk beside the documents.
type durableState struct {
	view            View
	completeForView int64 // the view for which this disk holds every committed update
	sequence        int64 // of the last update
}

// replica is the protocol state of one member: the rules of the chain as
// functions of state and input. It has no lock and does no io.
type replica struct {
	durableState
	self        Member
	incarnation int64 // of this process as a head, at random
	docs        Documents

	active           bool           // an update of this view was committed through this member
	successorDown    bool           // the successor's machine answered that no core runs there
	position         StreamPosition // of the last update sent or received
	committedThrough int64          // at the head: the last of its updates that all members answered
	lastUpdate       time.Time      // when an update was last committed through this member
	contact          contact
}

// isComplete tells whether this disk holds every update that was ever committed.
func (r *replica) isComplete() bool { return r.completeForView == r.view.Number }

func (r *replica) isHead() bool { return r.view.indexOf(r.self) == 0 }

// inContact tells whether this replica is a member and was lately in contact
// with all members.
func (r *replica) inContact(now time.Time) bool {
	return r.view.indexOf(r.self) >= 0 && r.contact.current(now)
}

// load takes over what was read from disk.
func (r *replica) load(disk string, state durableState, docs Documents) {
	if r.self.Disk == "" {
		r.self.Disk = disk
	}
	r.durableState = state
	r.docs = docs
	r.active = false
}

// enterView takes over a chosen view, if it is newer; from then on no update of
// the one before is accepted.
func (r *replica) enterView(v View) (entered bool) {
	if v.Number <= r.view.Number {
		return false
	}
	// A member without a gap that was complete still is: nothing can have been
	// committed since without it.
	i := v.indexOf(r.self)
	if i >= 0 && r.isComplete() && v.Members[i].SinceView <= r.view.Number {
		r.completeForView = v.Number
	}
	r.view = v
	r.active = false
	r.successorDown = false
	r.contact.resetAnswers()
	return true
}

// nextUpdate makes the next request of this head: a heartbeat as it stands.
func (r *replica) nextUpdate(view View) UpdateRequest {
	if r.position.Head != r.incarnation {
		r.position = StreamPosition{Head: r.incarnation}
		r.committedThrough = 0
	}
	r.position.Number++
	return UpdateRequest{View: view, Sequence: r.sequence, Position: r.position, CommittedThrough: r.committedThrough}
}

// admission is what a replica does with an update of its predecessor.
type admission int

const (
	admitRejected admission = iota
	admitAhead              // answer that this member holds more
	admitGap                // answer that a snapshot is needed
	admitApply              // apply it, then forward it
	admitForward            // forward it: it sets nothing that is not here already
)

// admit decides what to do with an update, and records its position. The error
// says why it is rejected.
func (r *replica) admit(u *UpdateRequest) (admission, error) {
	if u.View.Number < r.view.Number {
		return admitRejected, fmt.Errorf("%w: %d is sealed, %d is in force", ErrStaleView, u.View.Number, r.view.Number)
	}
	if u.View.indexOf(r.self) < 1 {
		return admitRejected, ErrNotInView
	}
	if err := r.advancePosition(u); err != nil {
		return admitRejected, err
	}
	if r.isAheadOf(u) {
		return admitAhead, nil
	}
	current := u.View.Number == r.view.Number && r.active
	switch {
	case u.Snapshot:
		return admitApply, nil
	case !current:
		return admitGap, nil
	case len(u.Set) > 0 && u.Sequence == r.sequence+1:
		return admitApply, nil
	case u.Sequence != r.sequence:
		return admitGap, nil
	}
	return admitForward, nil
}

// advancePosition rejects an update that others of the same incarnation of the
// head have overtaken: it was in a buffer, or on a link that was cut. Over a
// restart isAheadOf finds it by the sequence, which is on disk.
func (r *replica) advancePosition(u *UpdateRequest) error {
	if u.View.Number != r.view.Number {
		return nil // the first one of its view
	}
	if u.Position.Head == r.position.Head && u.Position.Number < r.position.Number {
		return fmt.Errorf("%w: number %d came after %d", ErrStaleUpdate, u.Position.Number, r.position.Number)
	}
	r.position = u.Position
	return nil
}

// isAheadOf tells whether this member is complete and holds more than an update.
// The members before it hold all that it does, so such an update is stale, or
// comes from a disk to which an old file was restored.
func (r *replica) isAheadOf(u *UpdateRequest) bool {
	i := u.View.indexOf(r.self)
	withoutGap := u.View.Number == r.view.Number || i >= 0 && u.View.Members[i].SinceView <= r.view.Number
	return withoutGap && r.isComplete() && u.Sequence < r.sequence
}

// documentsAfter are the documents once an update is applied.
func (r *replica) documentsAfter(u *UpdateRequest) Documents {
	docs := Documents{}
	if !u.Snapshot {
		maps.Copy(docs, r.docs)
	}
	maps.Copy(docs, u.Set)
	return docs
}

// recordCommitted records that an update went through this member and all behind
// it answered. Received is when it came here, or when this head began to send it.
func (r *replica) recordCommitted(u *UpdateRequest, received, now time.Time) {
	r.active = true
	r.successorDown = false
	r.lastUpdate = now
	r.position = u.Position
	if u.View.indexOf(r.self) == 0 {
		r.committedThrough = u.Position.Number
		r.contact.confirm(received)
		return
	}
	r.contact.recordAnswer(u.Position, u.CommittedThrough, received)
}

// markIncomplete records that this disk does not hold every committed update,
// whatever it says.
func (r *replica) markIncomplete() {
	r.completeForView = 0
	r.active = false
}
