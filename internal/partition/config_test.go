package partition

import "testing"

func TestNewRefusesAnIncompleteConfig(t *testing.T) {
	for name, invalidate := range map[string]func(c *Config){
		"no name":            func(c *Config) { c.Self = "" },
		"no client":          func(c *Config) { c.Client = nil },
		"no log":             func(c *Config) { c.Log = nil },
		"no contact timeout": func(c *Config) { c.ContactTimeout = 0 },
		"no in-sync report":  func(c *Config) { c.ReportInSync = nil },
		"no failure report":  func(c *Config) { c.ReportFailure = nil },
	} {
		config := testConfig(t.TempDir())
		invalidate(&config)
		if _, err := New(config); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
