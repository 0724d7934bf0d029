package cluster

import (
	"fmt"
	"time"
)

// The checks here compare what clients sent with what clients got. Each returns
// what is wrong.

// messageKey identifies a message.
type messageKey struct {
	publisher string
	number    int64
}

// checkTopicHistories checks all rules of topics on the histories of clients.
func checkTopicHistories(clients []*liveClient) (problems []string) {
	sent := map[messageKey]*liveMessage{}
	for _, c := range clients {
		c.mu.Lock()
		problems = append(problems, c.problems...)
		for _, m := range c.published {
			sent[messageKey{m.publisher, m.number}] = m
		}
		c.mu.Unlock()
	}
	orders := map[string][][]messageKey{} // by topic: of each subscriber
	for _, c := range clients {
		for topic := range c.subscriptions {
			s := c.snapshot(topic)
			problems = append(problems, checkDeliveries(c.name, topic, s.deliveries, sent)...)
			problems = append(problems, checkMissingDeliveries(c.name, topic, &s, sent)...)
			var order []messageKey
			for _, d := range s.deliveries {
				order = append(order, messageKey{d.publisher, d.number})
			}
			orders[topic] = append(orders[topic], order)
		}
	}
	for topic, all := range orders {
		problems = append(problems, checkTotalOrder(topic, all)...)
	}
	return problems
}

// checkDeliveries checks what one subscriber got: nothing that was not sent, nothing
// twice, and of each publisher in its order.
func checkDeliveries(client, topic string, deliveries []liveDelivery, sent map[messageKey]*liveMessage) (problems []string) {
	newest := map[string]int64{}
	for _, d := range deliveries {
		m := sent[messageKey{d.publisher, d.number}]
		switch {
		case m == nil || m.topic != topic || m.body != d.body:
			problems = append(problems, fmt.Sprintf("MIXED: %s got %+v on %s", client, d, topic))
		case m.onlyRetry:
			problems = append(problems, fmt.Sprintf("REFUSED: %s got %+v, which was refused", client, d))
		case d.number <= newest[d.publisher]:
			problems = append(problems, fmt.Sprintf("ORDER: %s got %s's %d behind %d on %s", client, d.publisher, d.number, newest[d.publisher], topic))
		}
		newest[d.publisher] = max(newest[d.publisher], d.number)
	}
	return problems
}

// checkMissingDeliveries checks that a subscriber got all that was sent after its first OK and
// acknowledged.
func checkMissingDeliveries(client, topic string, s *liveSubscription, sent map[messageKey]*liveMessage) (problems []string) {
	got := map[messageKey]bool{}
	for _, d := range s.deliveries {
		got[messageKey{d.publisher, d.number}] = true
	}
	for key, m := range sent {
		if m.topic != topic || m.acknowledged.IsZero() || s.firstSubscribed.IsZero() || !m.firstSent.After(s.firstSubscribed) {
			continue
		}
		if !s.ended.IsZero() && m.acknowledged.After(s.ended) || got[key] {
			continue
		}
		problems = append(problems, fmt.Sprintf("LOST: %s did not get %s's %d on %s", client, m.publisher, m.number, topic))
	}
	return problems
}

// checkTotalOrder checks that all subscribers of a topic got what they have in common
// in one order.
func checkTotalOrder(topic string, orders [][]messageKey) (problems []string) {
	for i, order := range orders {
		for _, other := range orders[:i] {
			place := map[messageKey]int{}
			for at, key := range other {
				place[key] = at
			}
			last := -1
			for _, key := range order {
				at, common := place[key]
				if !common {
					continue
				}
				if at < last {
					problems = append(problems, fmt.Sprintf("ORDER: two subscribers of %s got %v in differing orders", topic, key))
				}
				last = max(last, at)
			}
		}
	}
	return problems
}

// waitForDeliveries waits until the histories are right or do not change for long enough that
// what is missing is lost, and returns what is wrong.
func (w *world) waitForDeliveries(clients []*liveClient, limit time.Duration) []string {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		problems := checkTopicHistories(clients)
		if len(problems) == 0 || time.Now().After(end) {
			return problems
		}
	}
}
