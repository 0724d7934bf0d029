package budget

import "time"

// Log writes a log line.
type Log func(format string, values ...any)

// pressure counts what a Budget refuses, and logs it from time to time.
type pressure struct {
	listener  string // name of the listener in log lines
	log       Log    // nil: nothing is logged
	evictions int    // connections closed in favor of others, since the last log line
	refusals  int    // connections and reservations refused, since the last log line
	loggedAt  time.Time
}

// pressureLogInterval is the shortest time between two log lines of one budget.
const pressureLogInterval = 10 * time.Second

// record counts the result of one operation. The function that it returns writes the log
// line that is due, if any; it is called without any lock.
func (p *pressure) record(evictions int, refused bool) (report func()) {
	p.evictions += evictions
	if refused {
		p.refusals++
	}
	if p.log == nil || p.evictions+p.refusals == 0 || time.Since(p.loggedAt) < pressureLogInterval {
		return func() {}
	}
	log, listener, closed, refusals := p.log, p.listener, p.evictions, p.refusals
	p.evictions, p.refusals, p.loggedAt = 0, 0, time.Now()
	return func() {
		log("budget: %s: out of memory or descriptors: %d connections closed, %d requests or connections refused", listener, closed, refusals)
	}
}
