package edge

import (
	"slices"
	"testing"
	"time"

	"saltreel/internal/httpwire"
)

func TestRetryAfterInWholeSeconds(t *testing.T) {
	for _, test := range []struct {
		wait time.Duration
		want string
	}{
		{0, "1"},
		{time.Millisecond, "1"},
		{time.Second, "1"},
		{time.Second + time.Millisecond, "2"},
		{90 * time.Second, "90"},
	} {
		response := withRetryAfter(&httpwire.Response{Status: 503}, test.wait)
		if want := []string{"Retry-After", test.want}; !slices.Equal(response.Header, want) {
			t.Errorf("%v: header %q, want %q", test.wait, response.Header, want)
		}
	}
}

func TestMessageDeadline(t *testing.T) {
	timing := timing{contactTimeout: 2 * time.Second}
	for _, test := range []struct{ asked, want time.Duration }{
		{0, 960 * time.Millisecond}, // none: half of the contact timeout
		{-time.Second, 960 * time.Millisecond},
		{100 * time.Millisecond, 96 * time.Millisecond},
		{10 * time.Second, 9600 * time.Millisecond}, // above the contact timeout as well
	} {
		if got := timing.messageTimeout(test.asked); got != test.want {
			t.Errorf("asked %v: %v, want %v", test.asked, got, test.want)
		}
	}
}
