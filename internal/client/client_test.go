package client

import (
	"strings"
	"testing"
	"time"
)

func TestParseName(t *testing.T) {
	for _, c := range []struct {
		name      string
		partition int
		id        string
		ok        bool
	}{
		{Name(7, "a-1"), 7, "a-1", true},
		{"0.a.b", 0, "a.b", true}, // an ID may contain dots
		{"7", 7, "", false},
		{"7.", 7, "", false},
		{"-1.a", -1, "a", false},
		{"x.a", 0, "a", false},
		{"7.a/b", 7, "a/b", false},
	} {
		partition, id, ok := ParseName(c.name)
		if partition != c.partition || id != c.id || ok != c.ok {
			t.Errorf("%s: %d %q %v", c.name, partition, id, ok)
		}
	}
}

func TestValidIDs(t *testing.T) {
	for id, valid := range map[string]bool{
		"":                                 false,
		"aZ09-_.":                          true,
		"a b":                              false,
		"ä":                                false,
		strings.Repeat("a", maxIDBytes):    true,
		strings.Repeat("a", maxIDBytes+1):  false,
		"a/b":                              false,
		"a\x00":                            false,
		"6f1c1f0e-6a86-4b1c-9d2e-d1c5e0b2": true,
	} {
		if got := isValidID(id); got != valid {
			t.Errorf("%q: %v", id, got)
		}
	}
}

func TestParseMilliseconds(t *testing.T) {
	for _, c := range []struct {
		value string
		d     time.Duration
		ok    bool
	}{
		{"", 0, true},
		{"0", 0, true},
		{"1500", 1500 * time.Millisecond, true},
		{"0.5", 500 * time.Microsecond, true},
		{"1e10", 1e10 * time.Millisecond, true},
		{"1.1e10", 0, false},
		{"-1", 0, false},
		{"soon", 0, false},
		{"NaN", 0, false}, // a message with this delay would never become due
		{"Inf", 0, false},
	} {
		if d, ok := parseMilliseconds(c.value); d != c.d || ok != c.ok {
			t.Errorf("%q: %v %v", c.value, d, ok)
		}
	}
}
