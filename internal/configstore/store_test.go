package configstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"maps"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltreel/internal/chain"
)

// fakeChain holds the documents of a chain whose head and tail are set by the test.
type fakeChain struct {
	head, tail string
	docs       chain.Documents
	err        error // returned by Propose before the decision, and by Read
}

func (f *fakeChain) Head() string { return f.head }
func (f *fakeChain) Tail() string { return f.tail }

func (f *fakeChain) Read(context.Context) (chain.Documents, error) { return f.docs, f.err }

func (f *fakeChain) Propose(_ context.Context, decide func(chain.Documents) (chain.Documents, error)) error {
	if f.err != nil {
		return f.err
	}
	set, err := decide(f.docs)
	maps.Copy(f.docs, set)
	return err
}

// callerFunc implements Caller with a function.
type callerFunc func(address, path string, in, out any) error

func (f callerFunc) Call(_ context.Context, address, path string, in any, _ []byte, out any) error {
	return f(address, path, in, out)
}

// noCalls is a Caller that fails the test when it is called.
func noCalls(t *testing.T) Caller {
	t.Helper()
	return callerFunc(func(address, path string, _, _ any) error {
		t.Errorf("unexpected call of %s%s", address, path)
		return nil
	})
}

func newTestStore(t *testing.T, chain Chain, caller Caller) *Store {
	t.Helper()
	s, err := New(Config{Address: "self", Chain: chain, Client: caller, HostFailures: 1, ContactTimeout: 4 * time.Second, Log: log.New(io.Discard, "", 0)})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	for name, config := range map[string]Config{"no address": {}, "no timeout": {Address: "a"}, "no chain": {Address: "a", ContactTimeout: 1}} {
		if _, err := New(config); err == nil {
			t.Errorf("%s: New accepted the config", name)
		}
	}
}

func TestProposeErrorsDistinguishNoEffectFromUnknownOutcome(t *testing.T) {
	unknown := errors.New("unknown outcome")
	for name, c := range map[string]struct {
		chain       *fakeChain
		answer      func(out any) error
		rejected    bool
		unavailable bool
	}{
		"no view":                  {&fakeChain{}, nil, false, true},
		"at the head":              {&fakeChain{head: "self", docs: chain.Documents{}}, nil, true, false},
		"at the head, not decided": {&fakeChain{head: "self", err: unknown}, nil, false, true},
		"at another core, rejected": {&fakeChain{head: "other"}, func(out any) error {
			out.(*ProposeResponse).Rejection = &RejectedError{412, "another revision"}
			return nil
		}, true, false},
		"at another core, no response": {&fakeChain{head: "other"}, func(any) error { return unknown }, false, false},
	} {
		s := newTestStore(t, c.chain, callerFunc(func(_, path string, _, out any) error {
			if path != "/propose" {
				t.Errorf("%s: unexpected call of %s", name, path)
			}
			return c.answer(out)
		}))
		err := s.Propose(t.Context(), *change(7))
		var rejected *RejectedError
		var unavailable *UnavailableError
		if err == nil || errors.As(err, &rejected) != c.rejected || errors.As(err, &unavailable) != c.unavailable {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestProposeResponseCarriesRejectionAndOtherErrorsHaveNoStatus(t *testing.T) {
	head := &fakeChain{head: "self", docs: chain.Documents{}}
	s := newTestStore(t, head, noCalls(t))
	if out, err := s.HandlePropose(t.Context(), change(7), nil); err != nil || out.Rejection == nil || out.Rejection.Code != 412 {
		t.Errorf("rejected: %+v, %v", out, err)
	}
	if out, err := s.HandlePropose(t.Context(), change(1), nil); err != nil || out.Rejection != nil {
		t.Errorf("accepted: %+v, %v", out, err)
	}
	head.err = errors.New("busy")
	if _, err := s.HandlePropose(t.Context(), change(2), nil); err == nil || errors.Unwrap(err) != nil {
		t.Errorf("failed: %v", err)
	}
}

func TestReadIsServedByTheTailWithoutRecords(t *testing.T) {
	docs := chain.Documents{KeyConfiguration: []byte(`{}`), "taken/03": []byte("x")}
	own := newTestStore(t, &fakeChain{tail: "self", docs: docs}, noCalls(t))
	remote := newTestStore(t, &fakeChain{tail: "other"}, callerFunc(func(address, path string, _, out any) error {
		if address != "other" || path != "/read" {
			t.Errorf("unexpected call of %s%s", address, path)
		}
		out.(*State).Documents = withoutRecords(docs)
		return nil
	}))
	for _, s := range []*Store{own, remote} {
		state, err := s.Read(t.Context())
		if err != nil || len(state.Documents) != 1 {
			t.Errorf("%d documents, %v", len(state.Documents), err)
		}
		if raw, err := s.Configuration(t.Context()); err != nil || !bytes.Equal(raw, []byte(`{}`)) {
			t.Errorf("the configuration is %q, %v", raw, err)
		}
	}
	if _, err := newTestStore(t, &fakeChain{}, noCalls(t)).Read(t.Context()); !errors.Is(err, ErrNoView) {
		t.Errorf("without a view: %v", err)
	}
}

func TestRedirectAvoidsCoresThatRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStore(t, &fakeChain{head: "head", tail: "self"}, callerFunc(func(string, string, any, any) error { return syscall.ECONNREFUSED }))
		if head, tail := s.RedirectTarget(true), s.RedirectTarget(false); head != "head" || tail != "" {
			t.Errorf("changes are redirected to %q, reads to %q", head, tail)
		}
		_ = s.Propose(t.Context(), *change(1))
		if head := s.RedirectTarget(true); head != "" {
			t.Errorf("right after a refused connection, changes are redirected to %q", head)
		}
		time.Sleep(time.Second)
		if head := s.RedirectTarget(true); head != "head" {
			t.Errorf("1 s after a refused connection, changes are redirected to %q", head)
		}
	})
}
