package configuration

import "strings"

// Types of routes that are topic spaces. A route of any other type, or of none,
// accepts deferred messages for a service.
const (
	routeStored   = "stored"   // a topic space whose messages are retained
	routeRealtime = "realtime" // a topic space whose messages are not retained
)

// orderByTopic is the value of in-order with which all subscribers of a topic receive
// its messages in the same order. With any other value only the messages of each
// publisher are ordered.
const orderByTopic = "topic"

// IsTopicSpace reports whether the route is a topic space: its path-prefix is the common
// prefix of the names of its topics, and it has neither a host nor a service.
func (r *Route) IsTopicSpace() bool {
	return r.GetRouteType() == routeStored || r.GetRouteType() == routeRealtime
}

// IsStored reports whether a topic space retains its messages for clients that reconnect.
func (r *Route) IsStored() bool { return r.GetRouteType() == routeStored }

// OrdersByKey reports whether messages with the same order key are delivered
// sequentially.
func (r *Route) OrdersByKey() bool { return r.GetInOrder().GetBoolValue() }

// OrdersByTopic reports whether all subscribers of a topic receive its messages in the
// same order.
func (r *Route) OrdersByTopic() bool { return r.GetInOrder().GetStringValue() == orderByTopic }

// TopicSpace returns the topic space with the longest prefix that matches the name of a
// topic, or nil if there is none.
func (t *Table) TopicSpace(topic string) *Route {
	for _, route := range t.routes[""] {
		if route.IsTopicSpace() && strings.HasPrefix(topic, route.PathPrefix) {
			return route
		}
	}
	return nil
}
