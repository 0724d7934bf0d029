package chain

import (
	"errors"
	"testing"
	"time"
)

// tailOfThree returns a complete replica at the tail of a, b and c in view 4, which
// holds update 10 and all before it.
func tailOfThree() *replica {
	return &replica{
		durableState: durableState{
			view:            View{Number: 4, Members: members("a", "b", "c"), Voters: members("a", "b", "c")},
			completeForView: 4,
			sequence:        10,
		},
		self:     member("c"),
		docs:     Documents{"k": []byte("v")},
		active:   true,
		position: StreamPosition{Head: 7, Number: 20},
		contact:  contact{maxGap: time.Second},
	}
}

func TestAdmitUpdate(t *testing.T) {
	currentView := tailOfThree().view
	withNumber := func(n int64) View {
		v := currentView
		v.Number = n
		return v
	}
	rejoined := withNumber(6)
	rejoined.Members = append(members("a", "b"), Member{Address: "c", Disk: founderDisk, SinceView: 6})
	set := Documents{"k": []byte("w")}
	next := StreamPosition{Head: 7, Number: 21}
	restarted := func(r *replica) { r.active = false }

	for _, test := range []struct {
		name    string
		change  func(*replica)
		update  UpdateRequest
		want    admission
		wantErr error
	}{
		{name: "next update", update: UpdateRequest{View: currentView, Sequence: 11, Set: set, Position: next}, want: admitApply},
		{name: "heartbeat", update: UpdateRequest{View: currentView, Sequence: 10, Position: next}, want: admitForward},
		{name: "duplicate of the last update", update: UpdateRequest{View: currentView, Sequence: 10, Set: set, Position: StreamPosition{7, 20}}, want: admitForward},
		{name: "update after a gap", update: UpdateRequest{View: currentView, Sequence: 12, Set: set, Position: next}, want: admitGap},
		{name: "heartbeat after a gap", update: UpdateRequest{View: currentView, Sequence: 11, Position: next}, want: admitGap},
		{name: "snapshot after a gap", update: UpdateRequest{View: currentView, Sequence: 15, Snapshot: true, Set: set, Position: next}, want: admitApply},
		{name: "update after a restart of this member", change: restarted,
			update: UpdateRequest{View: currentView, Sequence: 11, Set: set, Position: next}, want: admitGap},
		{name: "first update of a view", update: UpdateRequest{View: withNumber(5), Sequence: 10, Position: next}, want: admitGap},
		{name: "stale view", update: UpdateRequest{View: withNumber(3), Sequence: 11, Set: set, Position: next}, want: admitRejected, wantErr: ErrStaleView},
		{name: "stale view with a snapshot", update: UpdateRequest{View: withNumber(3), Sequence: 11, Snapshot: true, Position: next}, want: admitRejected, wantErr: ErrStaleView},
		{name: "stale position", update: UpdateRequest{View: currentView, Sequence: 10, Position: StreamPosition{7, 19}}, want: admitRejected, wantErr: ErrStaleUpdate},
		{name: "position of another incarnation", update: UpdateRequest{View: currentView, Sequence: 10, Position: StreamPosition{8, 1}}, want: admitForward},
		{name: "sequence of a restored old file", update: UpdateRequest{View: currentView, Sequence: 9, Position: StreamPosition{8, 1}}, want: admitAhead},
		{name: "snapshot of a restored old file", update: UpdateRequest{View: currentView, Sequence: 9, Snapshot: true, Position: StreamPosition{8, 1}}, want: admitAhead},
		{name: "snapshot of a restored old file in the next view", update: UpdateRequest{View: withNumber(5), Sequence: 9, Snapshot: true, Position: next}, want: admitAhead},
		{name: "snapshot for a member that rejoined", update: UpdateRequest{View: rejoined, Sequence: 9, Snapshot: true, Position: next}, want: admitApply},
		{name: "snapshot for an incomplete member", change: func(r *replica) { r.completeForView = 3 },
			update: UpdateRequest{View: currentView, Sequence: 9, Snapshot: true, Position: next}, want: admitApply},
		{name: "update for a core that is not in the view", change: func(r *replica) { r.self = Member{Address: "c", Disk: "c2"} },
			update: UpdateRequest{View: currentView, Sequence: 11, Set: set, Position: next}, want: admitRejected, wantErr: ErrNotInView},
		{name: "update for the head", change: func(r *replica) { r.self = member("a") },
			update: UpdateRequest{View: currentView, Sequence: 11, Set: set, Position: next}, want: admitRejected, wantErr: ErrNotInView},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := tailOfThree()
			if test.change != nil {
				test.change(r)
			}
			before := r.durableState
			got, err := r.admit(&test.update)
			if got != test.want || !errors.Is(err, test.wantErr) {
				t.Errorf("%v, %v", got, err)
			}
			if r.sequence != before.sequence || r.view.Number != before.view.Number || r.completeForView != before.completeForView {
				t.Error("the state was changed before it was written to disk")
			}
		})
	}
}

func TestEnterView(t *testing.T) {
	next := func(number, since int64) View {
		v := View{Number: number, Members: members("a", "b", "c")}
		v.Members[2].SinceView = since
		return v
	}
	for _, test := range []struct {
		name     string
		change   func(*replica)
		view     View
		entered  bool
		complete bool
	}{
		{name: "a complete member without interruption stays complete", view: next(5, 1), entered: true, complete: true},
		{name: "a complete member stays complete across views that it missed", view: next(9, 4), entered: true, complete: true},
		{name: "a member that rejoined is not complete", view: next(9, 8), entered: true},
		{name: "an incomplete member stays incomplete", change: func(r *replica) { r.markIncomplete() }, view: next(5, 1), entered: true},
		{name: "a core that leaves is not complete", view: View{Number: 5, Members: members("a", "b")}, entered: true},
		{name: "the same view again changes nothing", view: next(4, 1), complete: true},
		{name: "an older view changes nothing", view: next(3, 1), complete: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := tailOfThree()
			r.successorDown = true
			if test.change != nil {
				test.change(r)
			}
			if entered := r.enterView(test.view); entered != test.entered || r.isComplete() != test.complete {
				t.Errorf("entered %v, complete %v", entered, r.isComplete())
			}
			if test.entered && (r.active || r.successorDown || r.view.Number != test.view.Number) {
				t.Errorf("active %v, successor down %v in view %d", r.active, r.successorDown, r.view.Number)
			}
		})
	}
}

func TestHeadNumbersItsUpdates(t *testing.T) {
	r := tailOfThree()
	r.self, r.incarnation, r.committedThrough = member("a"), 9, 20 // as if it had not been the head, or in another process
	first := r.nextUpdate(r.view)
	if first.Position != (StreamPosition{9, 1}) || first.CommittedThrough != 0 || first.Sequence != 10 {
		t.Errorf("first update: %+v", first)
	}
	r.recordCommitted(&first, time.Unix(100, 0), time.Unix(101, 0))
	second := r.nextUpdate(r.view)
	if second.Position != (StreamPosition{9, 2}) || second.CommittedThrough != 1 {
		t.Errorf("second update: %+v", second)
	}
	// The second update failed, so it does not count as committed.
	if third := r.nextUpdate(r.view); third.Position != (StreamPosition{9, 3}) || third.CommittedThrough != 1 {
		t.Errorf("third update: %+v", third)
	}
	if r.contact.lastConfirmed != time.Unix(100, 0) || r.lastUpdate != time.Unix(101, 0) {
		t.Errorf("in contact at %v, last update at %v", r.contact.lastConfirmed, r.lastUpdate)
	}
}

func TestDocumentsAfterUpdate(t *testing.T) {
	r := tailOfThree()
	set := Documents{"x": []byte("1")}
	if docs := r.documentsAfter(&UpdateRequest{Set: set}); len(docs) != 2 || string(docs["k"]) != "v" || string(docs["x"]) != "1" {
		t.Errorf("after an update: %s", docs)
	}
	if docs := r.documentsAfter(&UpdateRequest{Set: set, Snapshot: true}); len(docs) != 1 || string(docs["x"]) != "1" {
		t.Errorf("after a snapshot: %s", docs)
	}
	if len(r.docs) != 1 || len(set) != 1 {
		t.Errorf("modified in place: %s, %s", r.docs, set)
	}
}
