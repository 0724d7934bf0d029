package gateway

import (
	"context"

	"saltreel/internal/linewire"
	"saltreel/internal/topic"
)

// maxRefusals limits the concurrent refuse calls to brokers.
const maxRefusals = 64

// refuse handles a message of a tenant that is over its rate limit. RETRY guarantees that the
// number is not stored and never will be. However, the number may have been accepted earlier
// and its response lost. So the broker is asked to refuse it; if it cannot, the message is
// published as usual, which yields ACK and is not counted again. If the broker does not
// respond, the client gets UNKNOWN, which guarantees nothing.
func (p *publishers) refuse(from publisherTopic, m *publication) {
	select {
	case p.refusals <- struct{}{}:
	default:
		m.reply(unknownFrame(from, m.number))
		m.account.Close()
		return
	}
	p.caller.tasks.Go(func() {
		refused, err := p.requestRefusal(from, m.number)
		<-p.refusals
		switch {
		case err != nil:
			m.reply(unknownFrame(from, m.number))
		case refused:
			m.reply(linewire.AppendReject(nil, linewire.Publish, from.topic, m.number, linewire.Retry))
		default:
			p.add(from, m)
			return
		}
		m.account.Close()
	})
}

func (p *publishers) requestRefusal(from publisherTopic, number int64) (refused bool, err error) {
	partition := p.hub.partitionOf(from.topic)
	store, address := p.hub.primaryOf(partition)
	request := topic.RefuseRequest{Topic: from.topic, Partition: partition, Publisher: from.publisher, Number: number}
	var out topic.RefuseResponse
	ctx, cancel := context.WithTimeout(p.ctx, p.hub.timing.publishCallTimeout())
	defer cancel()
	err = p.caller.callForClient(ctx, store, address, topic.PathRefuse, p.hub.timing.publishCallTimeout(), request, nil, &out)
	return out.Refused, err
}
