package rpc

import (
	"bytes"
	"context"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// Guards against docs/calls.md and the code disagreeing on which calls are served
// and which of them may be retried.
func TestCallsPageMatchesIdempotentCalls(t *testing.T) {
	page, err := os.ReadFile("../../docs/calls.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(/[a-z/-]+)` \\|.*?\\| (yes|no) \\|").FindAllSubmatch(page, -1) {
		documented[string(row[1])] = bytes.Equal(row[2], []byte("yes"))
	}
	for path, idempotent := range documented {
		if idempotent != Idempotent[path] {
			t.Errorf("%s: the page says %v", path, idempotent)
		}
	}
	for path := range Idempotent {
		if _, ok := documented[path]; !ok {
			t.Errorf("%s is not on the page", path)
		}
	}
	used := map[string]bool{}
	for _, file := range []string{"controlplane/server.go", "store/store.go", "store/messages.go", "broker/broker.go", "edge/edge.go"} {
		source, err := os.ReadFile("../" + file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`"(/[a-z/-]+)": +(?:rpc\.(?:Raw)?Handler|source|[a-z]+\.)`).FindAllSubmatch(source, -1) {
			used[string(m[1])] = true
		}
	}
	for path := range used {
		if _, ok := documented[path]; !ok {
			t.Errorf("%s is served and not on the page", path)
		}
	}
	if len(used) != len(documented) {
		t.Errorf("%d calls are served, %d are on the page", len(used), len(documented))
	}
}

func TestParseCallerTimeout(t *testing.T) {
	for id, want := range map[string]struct {
		wait    time.Duration
		limited bool
		fails   bool
	}{
		"":               {},
		"abc":            {},
		"abc 20":         {20 * time.Millisecond, true, false},
		"abc 0":          {0, true, false},
		"abc ":           {fails: true},
		"abc -1":         {fails: true},
		"abc x":          {fails: true},
		"abc 1 2":        {fails: true},
		"abc 99999999":   {99999999 * time.Millisecond, true, false},
		"abc 9999999999": {fails: true}, // would overflow
	} {
		if wait, limited, err := parseCallerTimeout(id); wait != want.wait || limited != want.limited || (err != nil) != want.fails {
			t.Errorf("%q: %v %v %v", id, wait, limited, err)
		}
	}
}

func TestCallIDs(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	seen := map[string]bool{}
	for range 1000 {
		id := newCallID(ctx)
		random, _, _ := strings.Cut(id, " ")
		if wait, limited, err := parseCallerTimeout(id); err != nil || !limited || wait <= 0 || wait > time.Minute+time.Millisecond {
			t.Fatalf("%q waits %v %v %v", id, wait, limited, err)
		}
		if seen[random] {
			t.Fatalf("duplicate identifier %q", random)
		}
		seen[random] = true
	}
	if id := newCallID(t.Context()); strings.Contains(id, " ") {
		t.Errorf("identifier of a call without a deadline has a timeout: %q", id)
	}
}
