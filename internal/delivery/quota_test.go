package delivery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/partition"
	"saltreel/internal/quota"
)

// Guards against accepted messages that are throttled for minutes or forever while the handler is
// idle, because the byte limit was lowered after they were accepted (see
// docs/incidents/owed-deliveries.md). The quota may delay a message by one window at most,
// whatever its size, the changes of the limit and the number of messages of its order key.
func TestQuotaPutsAcceptedMessagesOffByOneWindowAtMost(t *testing.T) {
	const high, low = 1 << 20, 4000
	for name, c := range map[string]struct {
		limits   map[time.Duration]float64 // by the time at which they are set
		size     int
		orderKey string
		delayed  bool // whether some messages must be delayed
	}{
		"within the limit":                        {map[time.Duration]float64{0: high}, 3300, "", false},
		"low for 5 s":                             {map[time.Duration]float64{0: high, 10 * time.Second: low, 15 * time.Second: high}, 3300, "", true},
		"low until the end":                       {map[time.Duration]float64{0: high, 10 * time.Second: low}, 3300, "", true},
		"low, one order key":                      {map[time.Duration]float64{0: low}, 3300, "k", true},
		"larger than the limit allows per window": {map[time.Duration]float64{0: low}, 20 * low, "", true},
		"limit of 0":                              {map[time.Duration]float64{0: 0}, 100, "", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			due := map[string]time.Time{}
			var records []*partition.Record
			for i := range 400 {
				r := record(fmt.Sprintf("m%d", i), c.orderKey, int64(i+1))
				r.Body = make([]byte, c.size)
				due[r.ID] = start.Add(time.Duration(i) * 50 * time.Millisecond)
				r.Due = due[r.ID].UnixMilli()
				records = append(records, r)
			}
			p := newFakePartitions(partition.Event{BecamePrimary: true, Records: records})
			var latest time.Duration
			h := &fakeHandler{}
			h.status = func(id string, _ int) int {
				latest = max(latest, time.Since(due[id]))
				return 200
			}
			s := newSchedulerWith(t, p, h)
			for at, limit := range c.limits {
				if at == 0 {
					s.config.DeliveryBytes.SetLimits(map[quota.Entity]float64{{Tenant: "one"}: limit})
					continue
				}
				time.AfterFunc(at, func() { s.config.DeliveryBytes.SetLimits(map[quota.Entity]float64{{Tenant: "one"}: limit}) })
			}
			runScheduler(t, s, time.Minute)
			if n := len(p.outcomes()); n != 400 {
				t.Errorf("%s: %d of 400 messages finished", name, n)
			}
			if over := latest > quota.Window+20*time.Millisecond; over || c.delayed != (latest > quota.Window/2) {
				t.Errorf("%s: a delivery started %v after the message was due", name, latest)
			}
		})
	}
}
