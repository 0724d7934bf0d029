package cluster

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against RETRY for an accepted message number whose response was lost and whose tenant
// has since exceeded its rate (docs/incidents/retry-after-accept.md). Every gateway must answer
// the repeated number with ACK, and subscribers receive the message once. A number that was
// never accepted is still answered with RETRY.
func TestAcceptedNumberOverTheRateIsAcknowledgedAgain(t *testing.T) {
	runLive(t, func(w *world) {
		old := w.revision
		w.revision++
		raw := fmt.Appendf(nil, `{"revision":%d,"route-table":[{"name":"r-live","host-match":"","path-prefix":"live.","route-type":"stored","timeout-ms":1500,"retention-s":60,"in-order":"topic"}],"service-table":[],"limits":{"subscriptions":20},"tenant-table":[{"name":"one","api-keys":["key-one"],"rate-per-s":0.01,"burst-size":1}]}`, w.revision)
		if err := w.operator().PutConfiguration(context.Background(), raw, int64(old)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		reader := w.dialGateway("z3")
		reader.write("HELLO reader key-one\r\nSUBSCRIBE live.q\r\n")
		reader.expect("OK HELLO")
		reader.expect("OK SUBSCRIBE live.q")
		accepted := 0
		publish := func(zone string, number int) string {
			t.Helper()
			c := w.dialGateway(zone)
			defer func() { _ = c.conn.Close() }()
			c.write(fmt.Sprintf("HELLO u1 key-one\r\nPUBLISH live.q %d 1\r\nx\r\n", number))
			c.expect("OK HELLO")
			return c.expect("")
		}
		for over := false; !over; {
			answer := publish("z1", accepted+1)
			if over = strings.HasPrefix(answer, "REJECT PUBLISH"); !over {
				accepted++
			}
		}
		if accepted == 0 || accepted > 50 {
			t.Fatalf("%d messages were accepted before the rate limit, want 1 to 50", accepted)
		}
		for _, zone := range zones {
			if answer := publish(zone, accepted); answer != fmt.Sprintf("ACK live.q %d", accepted) {
				t.Errorf("accepted number %d repeated in %s: %q", accepted, zone, answer)
			}
			if answer := publish(zone, accepted+1); answer != fmt.Sprintf("REJECT PUBLISH live.q %d RETRY", accepted+1) {
				t.Errorf("new number %d over the rate in %s: %q", accepted+1, zone, answer)
			}
		}
		for number := 1; number <= accepted; number++ {
			reader.expect("DELIVER live.q ")
			reader.expect("x")
		}
		reader.write("PING\r\n")
		reader.expect("PONG") // no further delivery precedes it
	})
}
