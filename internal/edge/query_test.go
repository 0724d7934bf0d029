package edge

import (
	"net/http"
	"testing"
	"time"

	"saltreel/internal/configuration"
	"saltreel/internal/httpwire"
	"saltreel/internal/placement"
)

func TestQueryTenant(t *testing.T) {
	withTenant := configuration.NewTable(&configuration.Configuration{
		TenantTable: []*configuration.Tenant{{Name: "one", ApiKeys: []string{"key-one"}}},
	})
	without := configuration.NewTable(&configuration.Configuration{})
	for _, test := range []struct {
		name   string
		table  *configuration.Table
		key    string
		tenant string
		ok     bool
	}{
		{"key of a tenant", withTenant, "key-one", "one", true},
		{"unknown key", withTenant, "key-two", "", false},
		{"no key where there are tenants", withTenant, "", "", false},
		{"no key where there are none", without, "", "", true},
		{"a key where there are no tenants", without, "key-one", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tenant, ok := queryTenant(test.table, test.key)
			if tenant != test.tenant || ok != test.ok {
				t.Errorf("tenant %q, %v; want %q, %v", tenant, ok, test.tenant, test.ok)
			}
		})
	}
}

func TestQueryResponse(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   string
		answer httpwire.ClientResponse
		status int
	}{
		{"state", "status", httpwire.ClientResponse{Status: 200, Body: []byte(`{"state":0}`)}, 200},
		{"state that cannot be read", "status", httpwire.ClientResponse{Status: 200, Body: []byte("{")}, 502},
		{"body, whatever it is", "body", httpwire.ClientResponse{Status: 200, Body: []byte("{")}, 200},
		{"unknown message", "status", httpwire.ClientResponse{Status: 404, Body: []byte("no such message\n")}, 404},
		{"body of a complete message", "body", httpwire.ClientResponse{Status: 410, Body: []byte("the message is complete\n")}, 410},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := queryResponse(test.kind, &test.answer)
			if response.Status != test.status {
				t.Errorf("status %d, want %d", response.Status, test.status)
			}
			if test.kind == "body" && test.status == 200 && string(response.Body) != string(test.answer.Body) {
				t.Errorf("body %q, want %q", response.Body, test.answer.Body)
			}
		})
	}
}

// An edge that does not know the partition of a message must respond with 503, not
// 404: the message may exist.
func TestQueryOfAnUnknownPartitionIsUnavailable(t *testing.T) {
	p := testPlacement([]string{"1-1-a", "1-1-b"})
	p.Version = 1
	table := configuration.NewTable(&configuration.Configuration{})
	for _, test := range []struct {
		name, message string
		placement     *placement.Placement
		status        int
	}{
		{"no placement yet", "0.x", nil, 503},
		{"a placement with fewer partitions", "2.x", p, 503},
		{"not the name of a message", "x", p, 404},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEdge(t, 100*time.Millisecond, test.placement)
			for _, kind := range []string{"status", "body"} {
				response := e.answerQuery(t.Context(), &httpwire.Request{Request: &http.Request{Host: "app.example"}}, table, kind, test.message)
				if response.Status != test.status {
					t.Errorf("%s: %d, not %d", kind, response.Status, test.status)
				}
			}
		})
	}
}

func TestFinalAnswersOfStores(t *testing.T) {
	for status, want := range map[int]bool{200: true, 404: true, 410: true, 421: false, 500: false, 503: false, 504: false} {
		if got := isFinal(status); got != want {
			t.Errorf("status %d: final %v, want %v", status, got, want)
		}
	}
}
