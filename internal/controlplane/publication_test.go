package controlplane

import (
	"encoding/json"
	"io"
	"log"
	"testing"
	"time"

	"saltreel/internal/chain"
	"saltreel/internal/configstore"
	"saltreel/internal/distribution"
	"saltreel/internal/journal"
	"saltreel/internal/placement"
)

func TestPublicationAppendsNewerDocumentsOnly(t *testing.T) {
	events := journal.New("test", time.Hour, "")
	placements := 0
	p := &publication{
		journal: events, log: log.New(io.Discard, "", 0), onPlacement: func() { placements++ },
		decodePlacement: func(docs chain.Documents) (out placement.Placement, err error) {
			err = json.Unmarshal(docs[configstore.KeyPlacement], &out)
			return out, err
		},
	}
	documents := func(configuration string, version int64) chain.Documents {
		raw, err := json.Marshal(placement.Placement{Version: version})
		if err != nil {
			t.Fatal(err)
		}
		return chain.Documents{configstore.KeyConfiguration: []byte(configuration), configstore.KeyPlacement: raw}
	}
	for _, c := range []struct {
		name          string
		documents     chain.Documents
		configuration string
		placement     int64
		placements    int
	}{
		{"no documents", chain.Documents{}, "", 0, 0},
		{"first", documents(`{"revision":1}`, 1), `{"revision":1}`, 1, 1},
		{"repeated", documents(`{"revision":1}`, 1), `{"revision":1}`, 1, 1},
		{"configuration only", documents(`{"revision":2}`, 1), `{"revision":2}`, 1, 1},
		{"placement only", documents(`{"revision":2}`, 2), `{"revision":2}`, 2, 2},
		{"older placement", documents(`{"revision":2}`, 1), `{"revision":2}`, 2, 2},
		{"invalid configuration", documents(`{`, 2), `{"revision":2}`, 2, 2},
	} {
		p.update(c.documents)
		configuration, _ := events.Get(distribution.KeyConfiguration)
		if got := string(journal.Decode[[]byte](configuration)); got != c.configuration {
			t.Errorf("%s: configuration %s", c.name, got)
		}
		published, _ := events.Get(distribution.KeyPlacement)
		if got := p.currentPlacement().Version; got != c.placement || published.Version.Major != c.placement || placements != c.placements {
			t.Errorf("%s: placement %d, published %d, %d times", c.name, got, published.Version.Major, placements)
		}
	}
}
