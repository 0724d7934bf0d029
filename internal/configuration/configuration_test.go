package configuration

import (
	"strings"
	"testing"
)

const valid = `{"revision":7,"new-field":1,"route-table":[{"name":"a","host-match":"h","path-prefix":"/x/","route-type":"deferred","timeout-ms":10,"service":"s"},{"name":"b","host-match":"h","path-prefix":"/x/y/","timeout-ms":10,"service":"s"}],"service-table":[{"name":"s","rate-per-s":0.0,"static-endpoint":null}],"tenant-table":[{"name":"t","api-keys":["k1","k2"]},{"name":"u","api-keys":["k3"]}]}`

func TestConfigurationIsCheckedAndLookedUp(t *testing.T) {
	c, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(c)
	for target, want := range map[string]string{"/x/1": "a", "/x/y/2?q": "b", "/x/y": "a"} {
		if r := table.Route("H:80", target); r == nil || r.Name != want {
			t.Errorf("%s: got route %v, want %s", target, r, want)
		}
	}
	if table.Route("h", "/z") != nil || table.Route("i", "/x/") != nil || table.TenantByKey("") != nil || table.TenantByKey("k2").Name != "t" {
		t.Error("unexpected result of a lookup by host, prefix or API key")
	}
	for what, change := range map[string][2]string{
		"not JSON":        {`"u"`, ``},
		"unknown service": {`"service":"s"}]`, `"service":"n"}]`},
		"same match":      {"/x/y/", "/x/"},
		"no time-out":     {`"timeout-ms":10`, `"timeout-ms":0`},
		"shared key":      {`"k3"`, `"k1"`},
		"no revision":     {`"revision":7`, `"revision":0`},
		"bad endpoint":    {`"static-endpoint":null`, `"static-endpoint":"nowhere"`},
	} {
		if _, err := Parse([]byte(strings.Replace(valid, change[0], change[1], 1))); err == nil {
			t.Errorf("%s is accepted", what)
		}
	}
}

const topicSpaces = `{"revision":7,"route-table":[{"name":"a","host-match":"","path-prefix":"kafi.","route-type":"stored","timeout-ms":10,"in-order":"publisher","retention-s":35.0},{"name":"b","path-prefix":"kafi.b","route-type":"realtime","timeout-ms":10,"in-order":"topic"}],"limits":{"subscriptions":9}}`

func TestTopicSpaces(t *testing.T) {
	c, err := Parse([]byte(topicSpaces))
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(c)
	for topic, want := range map[string]string{"kafi.1": "a", "kafi.b7?x": "b", "kafi": "", "": ""} {
		if got := table.TopicSpace(topic).GetName(); got != want {
			t.Errorf("topic %q: got topic space %q, want %q", topic, got, want)
		}
	}
	a, b := table.TopicSpace("kafi.1"), table.TopicSpace("kafi.b")
	if !a.IsStored() || b.IsStored() || a.OrdersByTopic() || !b.OrdersByTopic() || a.OrdersByKey() || table.Limits.Subscriptions != 9 {
		t.Errorf("unexpected configuration: %v", c)
	}
	for what, change := range map[string][2]string{
		"a host":            {`"host-match":""`, `"host-match":"h"`},
		"a service":         {`"in-order":"topic"`, `"service":"s"`},
		"no prefix":         {`"path-prefix":"kafi.b"`, `"path-prefix":""`},
		"the same prefix":   {`"kafi.b"`, `"kafi."`},
		"negative time":     {`35.0`, `-1`},
		"no time-out":       {`"timeout-ms":10`, `"timeout-ms":0`},
		"an unknown type":   {`"stored"`, `"durable"`},
		"no type for topic": {`"route-type":"realtime",`, ``},
	} {
		if _, err := Parse([]byte(strings.Replace(topicSpaces, change[0], change[1], 1))); err == nil {
			t.Errorf("%s is accepted", what)
		}
	}
}
