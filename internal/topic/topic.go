// Package topic holds the calls by which gateways publish messages of topics at
// brokers and follow topics there. A topic lies in one partition, at whose primary,
// the broker, its messages have one order.
package topic

import (
	"errors"

	"saltreel/internal/partition"
	"saltreel/internal/ring"
)

// Paths of the calls of a broker. docs/calls.md describes them.
const (
	PathPublish = "/topics/publish"
	PathFollow  = "/topics/follow"
	PathPoll    = "/topics/poll"
	PathRead    = "/topics/read"
	PathRefuse  = "/topics/refuse"
	PathCount   = "/topics/count"
)

// PartitionOf returns the partition of a topic, of so many.
func PartitionOf(topic string, partitions int) int {
	return int(ring.Hash("topic", topic) % uint64(partitions))
}

// PublishRequest hands messages of one publisher on one topic to the primary of
// the topic's partition, in their order. The bodies follow the JSON in the same
// order.
type PublishRequest struct {
	Partition   int           `json:"n"`
	Topic       string        `json:"t"`
	Publisher   string        `json:"pb"`
	Tenant      string        `json:"tn,omitempty"`
	RetentionMs int64         `json:"ret"`  // how long the space retains messages
	WaitMs      int64         `json:"wait"` // how long the gateway waits
	Messages    []Publication `json:"m"`
}

// Publication is one message of a PublishRequest.
type Publication struct {
	Number int64 `json:"n"` // of the publisher
	Length int   `json:"l"` // of the body, in bytes
}

// PublishResponse gives the outcome of each message of a PublishRequest.
type PublishResponse struct {
	Outcomes []Outcome `json:"o"`
}

// Outcome is what became of a message that was published.
type Outcome int

// Outcomes.
const (
	Indeterminate Outcome = iota // it may have been stored, and may be delivered
	Accepted                     // as many disks as asked for hold it
	Superseded                   // it was not and never will be stored: a later number was
	NotStored                    // this call did not store it
)

// FollowRequest changes what a gateway follows at a broker: in one session, a
// sequence of calls of which none may be lost. A broker knows one session of each
// gateway, the one begun last.
type FollowRequest struct {
	Gateway  string          `json:"g"`
	Session  string          `json:"s"`
	Begin    bool            `json:"begin,omitempty"` // the first call of the session
	Follow   []FollowedTopic `json:"f,omitempty"`
	Unfollow []string        `json:"d,omitempty"`   // topics to follow no longer
	Counts   map[string]int  `json:"c,omitempty"`   // of the gateway's subscribers, where they changed
	MaxBytes int             `json:"max,omitempty"` // about as many the answer may have; 0: any
	// MaxBacklog bounds the bytes of messages of each topic; 0: any. Of more than that the
	// newest are in the answer, and the gateway reads the others.
	MaxBacklog int `json:"backlog,omitempty"`
}

// FollowedTopic is a topic that a gateway follows from now on.
type FollowedTopic struct {
	Topic       string             `json:"t"`
	Partition   int                `json:"n"`
	Replay      bool               `json:"r,omitempty"` // send the messages after After; else only new ones
	After       partition.Position `json:"a,omitzero"`
	Subscribers int                `json:"c,omitempty"` // at the gateway
}

// FollowResponse answers a FollowRequest. The bodies of all entries follow the
// JSON, in order.
type FollowResponse struct {
	Unknown bool         `json:"u,omitempty"` // there is no such session: begin a new one
	Topics  []TopicState `json:"t,omitempty"` // in the order of FollowRequest.Follow
}

// TopicState is where a topic stands when a gateway begins to follow it.
type TopicState struct {
	NotReady bool               `json:"x,omitempty"` // the broker is not, or not yet, the topic's primary; it is not followed
	Deferred bool               `json:"l,omitempty"` // the answer is full; it is not followed, and may be asked for again at once
	End      partition.Position `json:"e,omitzero"`  // of the last message; later ones are polled
	Floor    partition.Position `json:"f,omitzero"`  // messages up to here were deleted after their retention
	Skipped  partition.Position `json:"k,omitzero"`  // the messages asked for up to here are left out, over MaxBacklog
	Entries  []Entry            `json:"m,omitempty"` // the other messages asked for, up to End
}

// Entry is a message of a topic, without its body.
type Entry struct {
	Topic     string             `json:"t"`
	Position  partition.Position `json:"p"`
	Previous  partition.Position `json:"v,omitzero"` // of the message before it on the topic
	Publisher string             `json:"pb"`
	Number    int64              `json:"n"`
	Length    int                `json:"l"`
	Body      []byte             `json:"-"`
}

// PollRequest asks for the next messages of a session, and waits for one.
type PollRequest struct {
	Gateway  string `json:"g"`
	Session  string `json:"s"`
	Number   int64  `json:"n"` // counts the polls of the session, from 1
	WaitMs   int64  `json:"wait"`
	MaxBytes int    `json:"max,omitempty"` // about as many the answer may have; 0: any
}

// PollResponse answers a PollRequest. The bodies of the entries follow the JSON.
type PollResponse struct {
	Unknown        bool    `json:"u,omitempty"` // there is no such session, or the number is not the next
	LostPartitions []int   `json:"x,omitempty"` // partitions that the broker leads no longer; it sends nothing more of them
	Entries        []Entry `json:"m,omitempty"`
}

// RefuseRequest asks whether a publisher's number may be refused: its tenant is over its
// limit, but an earlier try of the number may have been accepted.
type RefuseRequest struct {
	Topic     string `json:"t"`
	Partition int    `json:"n"`
	Publisher string `json:"pb"`
	Number    int64  `json:"m"`
}

// RefuseResponse says that the number is not and will not be stored, or else that it may
// be: then it is to be published as any other, and doesn't count again.
type RefuseResponse struct {
	Refused bool `json:"x"`
}

// ReadRequest asks a broker for the messages of a topic after a position.
type ReadRequest struct {
	Topic     string             `json:"t"`
	Partition int                `json:"n"`
	After     partition.Position `json:"a,omitzero"`
	MaxBytes  int                `json:"max,omitempty"` // about as many the answer may have; 0: any
}

// ReadResponse holds the first messages after the position, one at least if there are any.
type ReadResponse struct {
	End     partition.Position `json:"e,omitzero"` // of the last message of the topic
	Floor   partition.Position `json:"f,omitzero"` // messages up to here were deleted after their retention
	Entries []Entry            `json:"m,omitempty"`
}

// CountRequest asks how many subscribers a topic has, at all gateways.
type CountRequest struct {
	Topic     string `json:"t"`
	Partition int    `json:"n"`
}

// CountResponse answers a CountRequest.
type CountResponse struct {
	Count int `json:"c"`
}

// ErrTruncated says that a call has fewer bytes of bodies than it announces.
var ErrTruncated = errors.New("the bodies are cut short")

// SetBodies cuts raw into the bodies of the entries, and returns the rest.
func SetBodies(entries []Entry, raw []byte) (rest []byte, err error) {
	for i := range entries {
		length := entries[i].Length
		if length < 0 || length > len(raw) {
			return nil, ErrTruncated
		}
		entries[i].Body, raw = raw[:length:length], raw[length:]
	}
	return raw, nil
}

// SetBodies cuts raw into the bodies of the entries of all topics.
func (r *FollowResponse) SetBodies(raw []byte) (err error) {
	for i := range r.Topics {
		if raw, err = SetBodies(r.Topics[i].Entries, raw); err != nil {
			return err
		}
	}
	return nil
}

// NewEntry is a record of the log as gateways get it.
func NewEntry(r *partition.Record) Entry {
	return Entry{
		Topic: r.Topic, Position: r.Position(), Previous: r.Previous,
		Publisher: r.Publisher, Number: r.Number, Length: len(r.Body), Body: r.Body,
	}
}
