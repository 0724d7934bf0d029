package cluster

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// A few percent of the responses between processes arrive after or before the response
// to another call, twice, or truncated. Messages must still be accepted, delivered and
// reported under their own identity, and each configuration must read back as it was
// acknowledged.
func TestMismatchedResponsesAreRejected(t *testing.T) {
	runCluster(t, func(w *world) {
		plain := w.newService("plain", "z1", "z2", "z3")
		w.applyConfiguration(options{})
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(5, 13))
		var earlier [][]byte // responses to insert before or after others
		injected := map[string]int{}
		rate := 60
		w.network.mu.Lock()
		w.network.rewrite = func(b []byte) []byte {
			if !bytes.HasPrefix(b, []byte("HTTP/1.1 200")) || !bytes.Contains(b, []byte("\r\nCall: ")) {
				return b
			}
			mu.Lock()
			defer mu.Unlock()
			b = bytes.Clone(b)
			other := b
			if len(earlier) > 0 {
				other = earlier[rng.IntN(len(earlier))]
			}
			if earlier = append(earlier, b); len(earlier) > 64 {
				earlier = earlier[1:]
			}
			switch rng.IntN(rate) {
			case 0:
				injected["another behind"]++
				return slices.Concat(b, other)
			case 1:
				injected["another before"]++
				return slices.Concat(other, b)
			case 2:
				injected["twice"]++
				return slices.Concat(b, b)
			case 3:
				injected["truncated"]++
				return b[:len(b)-1]
			}
			return b
		}
		w.network.mu.Unlock()
		var last []byte
		names := w.withTraffic(plain, func() {
			for range 3 {
				time.Sleep(time.Second)
				last = w.changeConfiguration("among mismatched responses", options{})
			}
		})
		w.verifyConfiguration("the last one", last)
		mu.Lock()
		rate = 24
		mu.Unlock()
		for id, name := range names {
			if code, body := w.get("z1", "/v1/message/"+name); code == 200 && !strings.Contains(body, `"seal-`+id+`"`) {
				t.Errorf("status of %s is that of another message: %s", id, body)
			}
		}
		if len(names) < 100 || len(injected) != 4 {
			t.Errorf("%d messages were accepted, injected: %v", len(names), injected)
		}
		t.Logf("%d messages were accepted, injected: %v", len(names), injected)
	})
}
