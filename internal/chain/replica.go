package chain

import (
	"fmt"
	"maps"
	"time"
)

// durableState is the state of a replica on disk other than the documents.
type durableState struct {
	view            View
	completeForView int64 // newest view for which this disk holds every committed update; 0 if none
	sequence        int64 // of the last update
}

// replica is the protocol state of one member and implements the rules of the chain.
// It does no I/O and is not safe for concurrent use.
type replica struct {
	durableState
	self        Member
	incarnation int64 // random, identifies this process as a head
	docs        Documents

	active           bool           // an update of this view was committed through this member
	successorDown    bool           // the successor's host refused the connection: no core runs there
	position         StreamPosition // of the last update sent or received
	committedThrough int64          // at the head: number of its last update that all members answered
	lastUpdate       time.Time      // when an update was last committed through this member
	contact          contact
}

// isComplete reports whether this disk holds every committed update.
func (r *replica) isComplete() bool { return r.completeForView == r.view.Number }

func (r *replica) isHead() bool { return r.view.indexOf(r.self) == 0 }

// inContact reports whether this replica is a member with a valid proof of contact
// with all members.
func (r *replica) inContact(now time.Time) bool {
	return r.view.indexOf(r.self) >= 0 && r.contact.current(now)
}

// load replaces the state by the state read from disk.
func (r *replica) load(disk string, state durableState, docs Documents) {
	if r.self.Disk == "" {
		r.self.Disk = disk
	}
	r.durableState = state
	r.docs = docs
	r.active = false
}

// enterView enters a chosen view if it is newer than the current one. Updates of
// earlier views are rejected from then on.
func (r *replica) enterView(v View) (entered bool) {
	if v.Number <= r.view.Number {
		return false
	}
	// A complete member whose membership was not interrupted is still complete,
	// because no update can have been committed without it.
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

// nextUpdate returns the next request of this head as a heartbeat.
func (r *replica) nextUpdate(view View) UpdateRequest {
	if r.position.Head != r.incarnation {
		r.position = StreamPosition{Head: r.incarnation}
		r.committedThrough = 0
	}
	r.position.Number++
	return UpdateRequest{View: view, Sequence: r.sequence, Position: r.position, CommittedThrough: r.committedThrough}
}

// admission is the decision on an update from the predecessor.
type admission int

const (
	admitRejected admission = iota
	admitAhead              // reply that this member holds later updates
	admitGap                // reply that a snapshot is needed
	admitApply              // apply it, then forward it
	admitForward            // forward it without applying: a heartbeat or a duplicate
)

// admit decides how to handle an update and records its position. It returns an error
// if the update is rejected.
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

// advancePosition rejects an update that arrives after a later one of the same
// incarnation of the head, for example because it was buffered or its link was down.
// After a restart of the head or of this member, isAheadOf detects it by the sequence
// on disk.
func (r *replica) advancePosition(u *UpdateRequest) error {
	if u.View.Number != r.view.Number {
		return nil // the first update of a newer view
	}
	if u.Position.Head == r.position.Head && u.Position.Number < r.position.Number {
		return fmt.Errorf("%w: number %d came after %d", ErrStaleUpdate, u.Position.Number, r.position.Number)
	}
	r.position = u.Position
	return nil
}

// isAheadOf reports whether this member is complete and holds later updates than u.
// The members before it hold everything that it holds, so u is either stale or comes
// from a disk on which an old file was restored.
func (r *replica) isAheadOf(u *UpdateRequest) bool {
	i := u.View.indexOf(r.self)
	withoutGap := u.View.Number == r.view.Number || i >= 0 && u.View.Members[i].SinceView <= r.view.Number
	return withoutGap && r.isComplete() && u.Sequence < r.sequence
}

// documentsAfter returns the documents that result from an update.
func (r *replica) documentsAfter(u *UpdateRequest) Documents {
	docs := Documents{}
	if !u.Snapshot {
		maps.Copy(docs, r.docs)
	}
	maps.Copy(docs, u.Set)
	return docs
}

// recordCommitted records that this member and all members behind it hold an update.
// forwardStart is the time at which this member began to forward the update: after its
// arrival and before the answer to it.
func (r *replica) recordCommitted(u *UpdateRequest, forwardStart, now time.Time) {
	r.active = true
	r.successorDown = false
	r.lastUpdate = now
	r.position = u.Position
	if u.View.indexOf(r.self) == 0 {
		r.committedThrough = u.Position.Number
		r.contact.confirm(forwardStart)
		return
	}
	r.contact.recordAnswer(u.Position, u.CommittedThrough, forwardStart)
}

// markIncomplete records that this disk does not hold every committed update, even if
// completeForView says so.
func (r *replica) markIncomplete() {
	r.completeForView = 0
	r.active = false
}
