package configstore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"saltreel/internal/chain"
	"saltreel/internal/configuration"
	"saltreel/internal/placement"
)

// The functions here decide on a change as the head sees it: from the state, and
// nothing else, they give the documents to write, none if the change is in force
// already, or a *RejectedError.

func decideConfiguration(docs chain.Documents, p *Proposal) (chain.Documents, error) {
	current, hash := docs[KeyConfiguration], hashOf(p.Configuration)
	if isRecorded(docs, hash) || bytes.Equal(current, p.Configuration) {
		return nil, nil // accepted before; the answer waits until the tail has it
	}
	return decideNextConfiguration(docs, p.Configuration, p.Match, hash)
}

// decidePatch decides on a change of named items: the configuration that it makes
// of the one in force is decided on like one that was sent whole.
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
	if p.Match != revision { // said first: the patch may fit the other revision only
		return nil, revisionMismatch(revision, p.Match)
	}
	next, err := configuration.ApplyPatch(current, p.Patch)
	if err != nil {
		return nil, &RejectedError{400, err.Error()}
	}
	return decideNextConfiguration(docs, next, p.Match, hash)
}

// decideNextConfiguration decides on a configuration that builds on a revision;
// hash is that of what the operator sent.
func decideNextConfiguration(docs chain.Documents, raw []byte, match int64, hash []byte) (chain.Documents, error) {
	next, err := configuration.Parse(raw)
	if err != nil {
		return nil, &RejectedError{400, err.Error()}
	}
	revision, err := revisionOf(docs[KeyConfiguration])
	if err != nil {
		return nil, err
	}
	if match != revision {
		return nil, revisionMismatch(revision, match)
	}
	if next.Revision <= revision {
		return nil, &RejectedError{400, fmt.Sprintf("revision %d is not higher than %d", next.Revision, revision)}
	}
	key, block := appendRecord(docs, hash)
	return chain.Documents{KeyConfiguration: raw, key: block}, nil
}

func revisionMismatch(inForce, match int64) *RejectedError {
	return &RejectedError{412, fmt.Sprintf("revision %d is in force, not %d", inForce, match)}
}

// revisionOf is the revision of the configuration in force, 0 before the first.
// What another version of this program accepted may be invalid for this
// one; the next change repairs that, so it must not fail here.
func revisionOf(current []byte) (int64, error) {
	if current == nil {
		return 0, nil
	}
	conf, err := configuration.Parse(current)
	if conf == nil {
		return 0, fmt.Errorf("the configuration in force: %w", err)
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
		return nil, &RejectedError{404, "no store is called " + name}
	}
	if store.RetireState != "" {
		return nil, nil // ordered before, or done: a store stays listed, and retired
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

// retireStateOf is how far the emptying of a store is.
func retireStateOf(current placement.Placement, name string) (string, error) {
	store, ok := current.Stores[name]
	if !ok {
		return "", &RejectedError{404, "no store is called " + name}
	}
	if store.RetireState == "" {
		return "", &RejectedError{404, name + " is not being emptied"}
	}
	return store.RetireState, nil
}
