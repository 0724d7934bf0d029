package configstore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/placement"
)

// The decide functions evaluate a change at the head. They depend on nothing but the
// state, and return the documents to write (none if the change is already in force)
// or a *RejectedError.

func decideConfiguration(docs chain.Documents, p *Proposal) (chain.Documents, error) {
	current, hash := docs[KeyConfiguration], hashOf(p.Configuration)
	if isRecorded(docs, hash) || bytes.Equal(current, p.Configuration) {
		return nil, nil // accepted before; the chain responds once the tail has it
	}
	return decideNextConfiguration(docs, p.Configuration, p.BaseRevision, hash)
}

// decidePatch decides on a change of named items. The configuration that results from
// applying it to the one in force is treated like one that was sent as a whole.
func decidePatch(docs chain.Documents, p *Proposal) (chain.Documents, error) {
	hash := hashOf(append([]byte("patch "), p.Patch...))
	if isRecorded(docs, hash) {
		return nil, nil
	}
	current := docs[KeyConfiguration]
	revision, err := revisionOf(current)
	if err != nil {
		return nil, err
	}
	if p.BaseRevision != revision { // checked first: the patch may apply only to the other revision
		return nil, revisionMismatch(revision, p.BaseRevision)
	}
	next, err := configuration.ApplyPatch(current, p.Patch)
	if err != nil {
		return nil, &RejectedError{400, err.Error()}
	}
	return decideNextConfiguration(docs, next, p.BaseRevision, hash)
}

// decideNextConfiguration decides on a configuration that is based on a revision.
// hash is the hash of what the operator sent.
func decideNextConfiguration(docs chain.Documents, raw []byte, baseRevision int64, hash []byte) (chain.Documents, error) {
	next, err := configuration.Parse(raw)
	if err != nil {
		return nil, &RejectedError{400, err.Error()}
	}
	revision, err := revisionOf(docs[KeyConfiguration])
	if err != nil {
		return nil, err
	}
	if baseRevision != revision {
		return nil, revisionMismatch(revision, baseRevision)
	}
	if next.Revision <= revision {
		return nil, &RejectedError{400, fmt.Sprintf("revision %d is not higher than %d", next.Revision, revision)}
	}
	key, block := appendRecord(docs, hash)
	return chain.Documents{KeyConfiguration: raw, key: block}, nil
}

func revisionMismatch(inForce, baseRevision int64) *RejectedError {
	return &RejectedError{412, fmt.Sprintf("revision %d is in force, not %d", inForce, baseRevision)}
}

// revisionOf returns the revision of the configuration in force, 0 if there is none.
// It must not fail for a configuration that another version of this program accepted
// but that this version finds invalid, since only a further change can replace it.
func revisionOf(current []byte) (int64, error) {
	if current == nil {
		return 0, nil
	}
	conf, err := configuration.Parse(current)
	if conf == nil {
		return 0, fmt.Errorf("parse the configuration in force: %w", err)
	}
	return conf.Revision, nil
}

func decidePlacement(current placement.Placement, next *placement.Placement) (chain.Documents, error) {
	if next.Version != current.Version+1 || next.Term < current.Term {
		return nil, &RejectedError{409, fmt.Sprintf("placement %d of term %d is in force", current.Version, current.Term)}
	}
	raw, err := json.Marshal(next)
	return chain.Documents{KeyPlacement: raw}, err
}

func decideRetire(current placement.Placement, name string, hostFailures int) (chain.Documents, error) {
	store, ok := current.Stores[name]
	if !ok {
		return nil, &RejectedError{404, "unknown store " + name}
	}
	if store.RetireState != "" {
		return nil, nil // already in progress or complete: a retired store stays listed
	}
	remaining := 0
	for other, s := range current.Stores {
		if other != name && s.RetireState == "" {
			remaining++
		}
	}
	if remaining < hostFailures+1 {
		return nil, &RejectedError{409, fmt.Sprintf("%d stores would remain, %d are needed", remaining, hostFailures+1)}
	}
	next := current.Clone()
	store.RetireState = placement.RetireActive
	next.Stores[name] = store
	next.Version++
	raw, err := json.Marshal(next)
	return chain.Documents{KeyPlacement: raw}, err
}

// retireStateOf returns the progress of the retirement of a store.
func retireStateOf(current placement.Placement, name string) (string, error) {
	store, ok := current.Stores[name]
	if !ok {
		return "", &RejectedError{404, "unknown store " + name}
	}
	if store.RetireState == "" {
		return "", &RejectedError{404, "store " + name + " is not being retired"}
	}
	return store.RetireState, nil
}
