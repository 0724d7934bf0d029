package gateway

import (
	"context"

	"saltreel/internal/linewire"
	"saltreel/internal/topic"
)

// maxRefusals bounds the numbers that brokers are asked about at once.
const maxRefusals = 64

// refuse answers a message of a tenant that is over its rate. RETRY promises that the number
// is not and will not be stored, and the number may have been accepted before, when its answer
// was lost: so the broker refuses it, or it is published as any other, which gives ACK and
// counts no second time. Where the broker cannot say, the answer promises nothing.
func (p *publishers) refuse(from publisherTopic, m *publication) {
	select {
	case p.refusals <- struct{}{}:
	default:
		m.reply(unknownFrame(from, m.number))
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
		}
	})
}

func (p *publishers) requestRefusal(from publisherTopic, number int64) (refused bool, err error) {
	partition := p.hub.partitionOf(from.topic)
	store, address := p.hub.primaryOf(partition)
	request := topic.RefuseRequest{Topic: from.topic, Partition: partition, Publisher: from.publisher, Number: number}
	var out topic.RefuseResponse
	ctx, cancel := context.WithTimeout(p.ctx, p.hub.timing.publishCallTimeout())
	defer cancel()
	_, err = p.caller.call(ctx, store, address, topic.PathRefuse, p.hub.timing.publishCallTimeout(), request, nil, &out)
	return out.Refused, err
}
