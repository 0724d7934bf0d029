package controlplane

import (
	"bytes"
	"log"
	"sync"

	"saltreel/internal/chain"
	"saltreel/internal/configstore"
	"saltreel/internal/configuration"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/placement"
)

// publication appends the documents that the tail of the chain is known to hold
// to the journal, from where they are distributed to the nodes.
type publication struct {
	journal         *journal.Journal
	log             *log.Logger
	decodePlacement func(chain.Documents) (placement.Placement, error)
	onPlacement     func() // called after a new placement was published

	mu        sync.Mutex
	documents chain.Documents     // newest
	placement placement.Placement // newest
}

// update publishes the documents of a committed update.
func (p *publication) update(docs chain.Documents) {
	if !p.replace(docs) {
		return
	}
	if raw := docs[configstore.KeyConfiguration]; raw != nil {
		p.publishConfiguration(raw)
	}
	if raw := docs[configstore.KeyPlacement]; raw != nil {
		p.publishPlacement(docs, raw)
	}
}

// replace says whether any document is another one than before: most updates are
// keepalives of the chain.
func (p *publication) replace(docs chain.Documents) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.documents
	p.documents = docs
	return !bytes.Equal(before[configstore.KeyConfiguration], docs[configstore.KeyConfiguration]) ||
		!bytes.Equal(before[configstore.KeyPlacement], docs[configstore.KeyPlacement])
}

func (p *publication) publishConfiguration(raw []byte) {
	if event, ok := p.journal.Get(distribution.KeyConfiguration); ok && bytes.Equal(journal.Decode[[]byte](event), raw) {
		return
	}
	conf, err := configuration.Parse(raw)
	if err != nil {
		return
	}
	event := journal.Event{Key: distribution.KeyConfiguration, Version: journal.Version{Major: conf.Revision}, Value: journal.Encode(raw)}
	if p.journal.Append(event) {
		p.log.Printf("core: revision %d is in force", conf.Revision)
	}
}

func (p *publication) publishPlacement(docs chain.Documents, raw []byte) {
	next, err := p.decodePlacement(docs)
	if err != nil || !p.advance(next) {
		return
	}
	p.journal.Append(journal.Event{Key: distribution.KeyPlacement, Version: journal.Version{Major: next.Version}, Value: raw})
	p.onPlacement()
}

// advance says whether a placement is newer than the one before.
func (p *publication) advance(next placement.Placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.Version <= p.placement.Version {
		return false
	}
	p.placement = next
	return true
}

// currentPlacement is the newest placement that the tail is known to hold. It
// must not be changed.
func (p *publication) currentPlacement() placement.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement
}
