package delivery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/partition"
	"saltreel/internal/quota"
)

// Guards against accepted messages that wait for minutes, or for ever, for a limit of bytes that
// was lowered after they were accepted, with the handler idle (docs/incidents/owed-deliveries.md):
// a quota puts a message off by one window at most, whatever the limit does, whatever its size,
// and however many of one order key there are.
func TestQuotaPutsAcceptedMessagesOffByOneWindowAtMost(t *testing.T) {
	const high, low = 1 << 20, 4000
	for name, c := range map[string]struct {
		limits   map[time.Duration]float64 // from a time on
		size     int
		orderKey string
		delayed  bool // some messages are to be put off
	}{
		"within the limit":               {map[time.Duration]float64{0: high}, 3300, "", false},
		"low for 5 s":                    {map[time.Duration]float64{0: high, 10 * time.Second: low, 15 * time.Second: high}, 3300, "", true},
		"low from then on":               {map[time.Duration]float64{0: high, 10 * time.Second: low}, 3300, "", true},
		"low, one order key":             {map[time.Duration]float64{0: low}, 3300, "k", true},
		"larger than the limit ever has": {map[time.Duration]float64{0: low}, 20 * low, "", true},
		"no bytes at all":                {map[time.Duration]float64{0: 0}, 100, "", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			due := map[string]time.Time{}
			var records []*partition.Record
			for i := range 400 {
				r := record(fmt.Sprintf("m%d", i), c.orderKey, int64(i+1))
				r.Body = make([]byte, c.size)
				due[r.ID] = began.Add(time.Duration(i) * 50 * time.Millisecond)
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
			s := schedulerOf(t, p, h)
			for at, limit := range c.limits {
				if at == 0 {
					s.config.DeliveryBytes.SetLimits(map[quota.Entity]float64{{Tenant: "one"}: limit})
					continue
				}
				time.AfterFunc(at, func() { s.config.DeliveryBytes.SetLimits(map[quota.Entity]float64{{Tenant: "one"}: limit}) })
			}
			runScheduler(t, s, time.Minute)
			if n := len(p.outcomes()); n != 400 {
				t.Errorf("%s: %d of 400 messages ended", name, n)
			}
			if over := latest > quota.Window+20*time.Millisecond; over || c.delayed != (latest > quota.Window/2) {
				t.Errorf("%s: a message began %v after it was due", name, latest)
			}
		})
	}
}
