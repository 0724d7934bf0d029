package configuration

import "strings"

// Types of routes. A route of another type, or of none, takes deferred messages
// for a service.
const (
	routeStored   = "stored"   // a space of topics whose messages are retained
	routeRealtime = "realtime" // a space of topics whose messages are not
)

// orderByTopic is the value of in-order by which all subscribers of a topic get
// its messages in one order. By any other only the order of each publisher counts.
const orderByTopic = "topic"

// IsTopicSpace reports whether the route is a space of topics: its prefix is that of
// the topics' names, and it has neither a host nor a service.
func (r *Route) IsTopicSpace() bool {
	return r.GetRouteType() == routeStored || r.GetRouteType() == routeRealtime
}

// IsStored reports whether a space retains its messages for those who come back.
func (r *Route) IsStored() bool { return r.GetRouteType() == routeStored }

// OrdersByKey reports whether the messages of one order key are delivered one
// after the other.
func (r *Route) OrdersByKey() bool { return r.GetInOrder().GetBoolValue() }

// OrdersByTopic reports whether all subscribers of a topic get its messages in one
// order.
func (r *Route) OrdersByTopic() bool { return r.GetInOrder().GetStringValue() == orderByTopic }

// TopicSpace returns the space with the longest prefix of a topic's name; nil if there
// is none.
func (t *Table) TopicSpace(topic string) *Route {
	for _, route := range t.routes[""] {
		if route.IsTopicSpace() && strings.HasPrefix(topic, route.PathPrefix) {
			return route
		}
	}
	return nil
}
