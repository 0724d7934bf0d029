package cluster

import (
	"fmt"
	"time"
)

// The checks in this file compare published messages with deliveries. Each returns
// a description of every violation.

// messageKey identifies a message.
type messageKey struct {
	publisher string
	number    int64
}

// checkTopicHistories checks the histories of all clients against all delivery rules.
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
	orders := map[string][][]messageKey{} // by topic: the delivery order at each subscriber
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

// checkDeliveries checks that one subscriber received only messages that were
// published, none that was refused and none twice, and those of each publisher in
// publication order.
func checkDeliveries(client, topic string, deliveries []liveDelivery, sent map[messageKey]*liveMessage) (problems []string) {
	newest := map[string]int64{}
	for _, d := range deliveries {
		m := sent[messageKey{d.publisher, d.number}]
		switch {
		case m == nil || m.topic != topic || m.body != d.body:
			problems = append(problems, fmt.Sprintf("MIXED: %s received %+v on %s, which matches no message published there", client, d, topic))
		case m.onlyRetry:
			problems = append(problems, fmt.Sprintf("REFUSED: %s received %+v, which was refused", client, d))
		case d.number <= newest[d.publisher]:
			problems = append(problems, fmt.Sprintf("ORDER: %s received %s's number %d after number %d on %s", client, d.publisher, d.number, newest[d.publisher], topic))
		}
		newest[d.publisher] = max(newest[d.publisher], d.number)
	}
	return problems
}

// checkMissingDeliveries checks that a subscriber received every acknowledged message
// that was published after its subscription was first confirmed.
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
		problems = append(problems, fmt.Sprintf("LOST: %s did not receive %s's number %d on %s", client, m.publisher, m.number, topic))
	}
	return problems
}

// checkTotalOrder checks that any two subscribers of a topic received the messages that
// both have in the same order.
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
					problems = append(problems, fmt.Sprintf("ORDER: two subscribers of %s received %v in different orders", topic, key))
				}
				last = max(last, at)
			}
		}
	}
	return problems
}

// waitForDeliveries waits until the histories satisfy all rules, but no longer than limit,
// after which missing messages count as lost. It returns the remaining violations.
func (w *world) waitForDeliveries(clients []*liveClient, limit time.Duration) []string {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		problems := checkTopicHistories(clients)
		if len(problems) == 0 || time.Now().After(end) {
			return problems
		}
	}
}
