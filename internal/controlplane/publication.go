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

// publication appends the documents that the tail of the chain is known to hold to the
// journal, from which they are distributed to the nodes.
type publication struct {
	journal         *journal.Journal
	log             *log.Logger
	decodePlacement func(chain.Documents) (placement.Placement, error)
	onPlacement     func() // called after a new placement has been published

	mu        sync.Mutex
	documents chain.Documents     // the newest known
	placement placement.Placement // the newest published
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

// replace stores the documents and reports whether the configuration or the placement
// differs from before. Most updates are heartbeats of the chain that change neither.
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

// advance stores a placement and returns true if it is newer than the stored one.
func (p *publication) advance(next placement.Placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.Version <= p.placement.Version {
		return false
	}
	p.placement = next
	return true
}

// documentBytes returns the size in bytes of the newest known documents.
func (p *publication) documentBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, document := range p.documents {
		size += len(document)
	}
	return size
}

// currentPlacement returns the newest placement that the tail is known to hold. The
// caller must not modify it.
func (p *publication) currentPlacement() placement.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.placement
}
