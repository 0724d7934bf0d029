package platform

import "testing"

func TestEachEventInEachPhase(t *testing.T) {
	for name, c := range map[string]struct {
		events  []event
		actions []action
		phase   phase
	}{
		"stop while starting":                 {[]event{eventStop}, []action{actionDrain}, draining},
		"stop while starting, then started":   {[]event{eventStop, eventStarted}, []action{actionDrain, actionNone}, draining},
		"reload while starting":               {[]event{eventReload}, []action{actionPostponeReload}, starting},
		"reloads while starting are one":      {[]event{eventReload, eventSettingsChange, eventStarted}, []action{actionPostponeReload, actionPostponeReload, actionApplySettings}, running},
		"started without reload":              {[]event{eventStarted}, []action{actionNone}, running},
		"reload while running":                {[]event{eventStarted, eventReload}, []action{actionNone, actionApplySettings}, running},
		"change of the file while running":    {[]event{eventStarted, eventSettingsChange}, []action{actionNone, actionApplySettings}, running},
		"stop while running":                  {[]event{eventStarted, eventStop}, []action{actionNone, actionDrain}, draining},
		"reload while draining":               {[]event{eventStarted, eventStop, eventReload}, []action{actionNone, actionDrain, actionIgnoreReload}, draining},
		"change of the file while draining":   {[]event{eventStarted, eventStop, eventSettingsChange}, []action{actionNone, actionDrain, actionIgnoreReload}, draining},
		"second stop":                         {[]event{eventStarted, eventStop, eventStop}, []action{actionNone, actionDrain, actionIgnoreStop}, draining},
		"stop after a reload while starting":  {[]event{eventReload, eventStop, eventStarted}, []action{actionPostponeReload, actionDrain, actionNone}, draining},
		"reload after a stop while starting":  {[]event{eventStop, eventReload, eventStarted}, []action{actionDrain, actionIgnoreReload, actionNone}, draining},
		"started twice applies settings once": {[]event{eventReload, eventStarted, eventStarted}, []action{actionPostponeReload, actionApplySettings, actionNone}, running},
	} {
		var s lifecycleState
		for i, e := range c.events {
			if got := s.step(e); got != c.actions[i] {
				t.Errorf("%s: event %d gives action %d, not %d", name, i, got, c.actions[i])
			}
		}
		if s.phase != c.phase {
			t.Errorf("%s: ends in %v, not %v", name, s.phase, c.phase)
		}
	}
}
