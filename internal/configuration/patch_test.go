package configuration

import (
	"strings"
	"testing"
)

func TestPatchRevision(t *testing.T) {
	for raw, want := range map[string]int64{`{"revision":9}`: 9, `{"revision":0}`: 0, `{}`: 0, `{"revision":"x"}`: 0, `{`: 0} {
		if got, err := PatchRevision([]byte(raw)); got != want || (err == nil) != (want > 0) {
			t.Errorf("%s: got revision %d, want %d; error: %v", raw, got, want, err)
		}
	}
}

func TestApplyPatch(t *testing.T) {
	current := `{"revision":7,"unknown":{"x":1},"route-table":[{"name":"a","new":1},{"name":"b","retention-s":35.0},{"name":"c"}],"limits":{"subscriptions":5}}`
	for name, c := range map[string]struct{ current, patch, want, err string }{
		"replaces in place, adds and removes": {
			current,
			`{"revision":9,"upsert":{"route-table":[{"name":"d"},{"name":"a","priority":2}]},"withdraw":{"route-table":["b","never"]}}`,
			`{"limits":{"subscriptions":5},"revision":9,"route-table":[{"name":"a","priority":2},{"name":"c"},{"name":"d"}],"unknown":{"x":1}}`, "",
		},
		"an item that is withdrawn and upserted is kept": {
			`{"revision":1,"tenant-table":[{"name":"t","api-keys":["k"]}]}`,
			`{"revision":2,"upsert":{"tenant-table":[{"name":"t","api-keys":["l"]}]},"withdraw":{"tenant-table":["t"]}}`,
			`{"revision":2,"tenant-table":[{"name":"t","api-keys":["l"]}]}`, "",
		},
		"a group is replaced": {current, `{"revision":8,"upsert":{"limits":{"subscriptions":6}}}`,
			`{"limits":{"subscriptions":6},"revision":8,"route-table":[{"name":"a","new":1},{"name":"b","retention-s":35.0},{"name":"c"}],"unknown":{"x":1}}`, ""},
		"no configuration yet":  {"", `{"revision":1,"upsert":{"route-table":[{"name":"a"}]}}`, `{"revision":1,"route-table":[{"name":"a"}]}`, ""},
		"not JSON":              {current, `{"revision":9,`, "", "cannot be parsed"},
		"no revision":           {current, `{}`, "", "revision is missing"},
		"item without a name":   {current, `{"revision":9,"upsert":{"route-table":[{}]}}`, "", "no name"},
		"item is not an object": {current, `{"revision":9,"upsert":{"route-table":[7]}}`, "", "route-table"},
		"no table of that name": {current, `{"revision":9,"withdraw":{"limits":["a"]}}`, "", "not a list"},
	} {
		var before []byte
		if c.current != "" {
			before = []byte(c.current)
		}
		got, err := ApplyPatch(before, []byte(c.patch))
		if string(got) != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: got %s, want %s; error: %v", name, got, c.want, err)
		}
	}
}
