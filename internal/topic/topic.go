// Package topic defines the RPCs by which gateways publish to and follow topics at brokers. A
// topic belongs to one partition; the primary of the partition is the topic's broker and
// establishes the order of its messages.
package topic

import (
	"errors"

	"saltreel/internal/partition"
	"saltreel/internal/ring"
)

// Paths of the broker RPCs. See docs/calls.md.
const (
	PathPublish = "/topics/publish"
	PathFollow  = "/topics/follow"
	PathPoll    = "/topics/poll"
	PathRead    = "/topics/read"
	PathRefuse  = "/topics/refuse"
	PathCount   = "/topics/count"
)

// PartitionOf returns the partition of a topic, given the number of partitions.
func PartitionOf(topic string, partitions int) int {
	return int(ring.Hash("topic", topic) % uint64(partitions))
}

// PublishRequest sends messages of one publisher on one topic to the primary of the topic's
// partition. The bodies follow the JSON in the order of Messages.
type PublishRequest struct {
	Partition   int           `json:"n"`
	Topic       string        `json:"t"`
	Publisher   string        `json:"pb"`
	Tenant      string        `json:"tn,omitempty"`
	RetentionMs int64         `json:"ret"`  // retention of the space
	WaitMs      int64         `json:"wait"` // how long the gateway waits for the response
	Messages    []Publication `json:"m"`
}

// Publication describes one message of a PublishRequest.
type Publication struct {
	Number int64 `json:"n"` // the publisher's message number
	Length int   `json:"l"` // body size in bytes
}

// PublishResponse contains the outcome of each message of a PublishRequest.
type PublishResponse struct {
	Outcomes []Outcome `json:"o"`
}

// Outcome is the result of publishing a message.
type Outcome int

// Outcomes.
const (
	Indeterminate Outcome = iota // may have been stored, and may be delivered
	Accepted                     // stored on the required number of disks
	Superseded                   // not stored and never will be, because a later number was stored or the number was refused
	NotStored                    // not stored by this call
)

// FollowRequest changes the set of topics that a gateway follows at a broker. The requests of
// a session form a sequence in which none may be lost. A broker keeps one session per gateway,
// the most recent.
type FollowRequest struct {
	Gateway  string          `json:"g"`
	Session  string          `json:"s"`
	Begin    bool            `json:"begin,omitempty"` // first request of the session
	Follow   []FollowedTopic `json:"f,omitempty"`
	Unfollow []string        `json:"d,omitempty"`   // topics to stop following
	Counts   map[string]int  `json:"c,omitempty"`   // changed subscriber counts of the gateway, by topic
	MaxBytes int             `json:"max,omitempty"` // approximate limit of the response size; 0: default
	// MaxBacklog limits the bytes of messages returned for each topic; 0: no limit. If there
	// are more, the response contains the newest, and the gateway reads the others with
	// ReadRequest.
	MaxBacklog int `json:"backlog,omitempty"`
}

// FollowedTopic is a topic to start following.
type FollowedTopic struct {
	Topic       string             `json:"t"`
	Partition   int                `json:"n"`
	Replay      bool               `json:"r,omitempty"` // send the messages after After; otherwise only new ones
	After       partition.Position `json:"a,omitzero"`
	Subscribers int                `json:"c,omitempty"` // subscribers at the gateway
}

// FollowResponse is the response to a FollowRequest. The bodies of all entries follow the JSON
// in order.
type FollowResponse struct {
	Unknown bool         `json:"u,omitempty"` // unknown session: begin a new one
	Topics  []TopicState `json:"t,omitempty"` // in the order of FollowRequest.Follow
}

// TopicState is the state of a topic when a gateway starts to follow it.
type TopicState struct {
	NotReady bool               `json:"x,omitempty"` // not followed: the broker is not, or not yet, the primary of the topic
	Deferred bool               `json:"l,omitempty"` // not followed: the response is full; may be requested again immediately
	End      partition.Position `json:"e,omitzero"`  // position of the last message; later ones are polled
	Floor    partition.Position `json:"f,omitzero"`  // messages up to this position were deleted after their retention
	Skipped  partition.Position `json:"k,omitzero"`  // requested messages up to this position are omitted because of MaxBacklog
	Entries  []Entry            `json:"m,omitempty"` // the remaining requested messages up to End
}

// Entry is a message of a topic. The body is transferred separately.
type Entry struct {
	Topic     string             `json:"t"`
	Position  partition.Position `json:"p"`
	Previous  partition.Position `json:"v,omitzero"` // position of the preceding message on the topic
	Publisher string             `json:"pb"`
	Number    int64              `json:"n"`
	Length    int                `json:"l"`
	Body      []byte             `json:"-"`
}

// PollRequest long-polls for the next messages of a session.
type PollRequest struct {
	Gateway  string `json:"g"`
	Session  string `json:"s"`
	Number   int64  `json:"n"` // sequence number of the poll in the session, starting at 1
	WaitMs   int64  `json:"wait"`
	MaxBytes int    `json:"max,omitempty"` // approximate limit of the response size; 0: default
}

// PollResponse is the response to a PollRequest. The bodies of the entries follow the JSON.
type PollResponse struct {
	Unknown        bool    `json:"u,omitempty"` // unknown session, or the number is out of sequence
	LostPartitions []int   `json:"x,omitempty"` // partitions that the broker no longer leads; it sends no more of their messages
	Entries        []Entry `json:"m,omitempty"`
}

// RefuseRequest asks whether a publisher's number may be refused because its tenant is over
// its rate limit. An earlier attempt with the same number may have been accepted.
type RefuseRequest struct {
	Topic     string `json:"t"`
	Partition int    `json:"n"`
	Publisher string `json:"pb"`
	Number    int64  `json:"m"`
}

// RefuseResponse reports whether the number is not stored and never will be. Otherwise it may
// be stored, and the message must be published as usual, without being counted again.
type RefuseResponse struct {
	Refused bool `json:"x"`
}

// ReadRequest reads the messages of a topic after a position.
type ReadRequest struct {
	Topic     string             `json:"t"`
	Partition int                `json:"n"`
	After     partition.Position `json:"a,omitzero"`
	MaxBytes  int                `json:"max,omitempty"` // approximate limit of the response size; 0: default
}

// ReadResponse contains the first messages after the position; at least one if there are any.
type ReadResponse struct {
	End     partition.Position `json:"e,omitzero"` // position of the last message of the topic
	Floor   partition.Position `json:"f,omitzero"` // messages up to this position were deleted after their retention
	Entries []Entry            `json:"m,omitempty"`
}

// CountRequest asks for the number of subscribers of a topic at all gateways.
type CountRequest struct {
	Topic     string `json:"t"`
	Partition int    `json:"n"`
}

// CountResponse is the response to a CountRequest.
type CountResponse struct {
	Count int `json:"c"`
}

// ErrTruncated reports that a call contains fewer body bytes than announced.
var ErrTruncated = errors.New("the bodies are cut short")

// SetBodies splits raw into the bodies of the entries and returns the remainder.
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

// SetBodies splits raw into the bodies of the entries of all topics.
func (r *FollowResponse) SetBodies(raw []byte) (err error) {
	for i := range r.Topics {
		if raw, err = SetBodies(r.Topics[i].Entries, raw); err != nil {
			return err
		}
	}
	return nil
}

// NewEntry returns the entry for a log record.
func NewEntry(r *partition.Record) Entry {
	return Entry{
		Topic: r.Topic, Position: r.Position(), Previous: r.Previous,
		Publisher: r.Publisher, Number: r.Number, Length: len(r.Body), Body: r.Body,
	}
}
