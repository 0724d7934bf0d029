package partition

// Event reports a change to the delivery or to the broker. The events of a partition are
// in the order of the changes: BecamePrimary, then the records to deliver, then
// LostPrimary. LogReady comes once between BecamePrimary and LostPrimary, or not at all
// if the role is lost first. It waits for disks, so deferred messages may precede it, but
// no log entries do.
type Event struct {
	Partition     int
	BecamePrimary bool                // this store has become the primary; Records holds all pending deferred messages
	LostPrimary   bool                // this store is no longer the primary
	Records       []*Record           // deferred messages to deliver
	LogReady      bool                // the entries held when this store became primary follow in Entries
	Floors        map[string]Position // with LogReady: the floors of the topics that have one
	Entries       []*Record           // log entries that enough disks hold, in order
}

// eventQueue holds the events that have not yet been returned by Events. It is guarded by
// the Manager's mu, so that events are in the order of the changes.
type eventQueue struct {
	queue []Event
	ready chan struct{}
}

func (q *eventQueue) push(e Event) {
	q.queue = append(q.queue, e)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// Events returns the events since the last call, and a channel that receives a value when
// there may be more.
func (m *Manager) Events() ([]Event, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events.queue
	m.events.queue = nil
	return events, m.events.ready
}
