package platform

// phase is a phase in the life cycle of a process.
type phase int

const (
	starting phase = iota // opening its state; not serving yet
	running
	draining // answering the requests already read before exiting
)

func (p phase) String() string { return [...]string{"starting", "running", "draining"}[p] }

// event is an input of the state machine: a signal, a settings change or a
// completed start.
type event int

const (
	eventStop           event = iota // SIGTERM or SIGINT
	eventReload                      // SIGHUP: reload the settings file
	eventSettingsChange              // the content of the settings file has changed
	eventStarted                     // the state is open
)

// action is what the lifecycle does in response to an event.
type action int

const (
	actionNone           action = iota
	actionDrain                 // start a graceful shutdown
	actionApplySettings         // read the settings file and apply it
	actionPostponeReload        // apply the settings once the process has started
	actionIgnoreReload          // the process is stopping: new settings have no effect
	actionIgnoreStop            // it is already draining
)

// lifecycleState is the state machine of a process: its phase, and whether a reload
// is pending until it has started. It does no I/O; Lifecycle passes it events and
// performs its actions.
type lifecycleState struct {
	phase         phase
	reloadPending bool
}

// step applies an event and returns the resulting action.
func (s *lifecycleState) step(e event) action {
	switch e {
	case eventStop:
		return s.stop()
	case eventReload, eventSettingsChange:
		return s.reload()
	case eventStarted:
		return s.started()
	}
	return actionNone
}

func (s *lifecycleState) stop() action {
	if s.phase == draining {
		return actionIgnoreStop
	}
	s.phase = draining
	return actionDrain
}

func (s *lifecycleState) reload() action {
	switch s.phase {
	case starting:
		s.reloadPending = true
		return actionPostponeReload
	case running:
		return actionApplySettings
	default:
		return actionIgnoreReload
	}
}

func (s *lifecycleState) started() action {
	if s.phase != starting {
		return actionNone // stopped while starting
	}
	s.phase = running
	if !s.reloadPending {
		return actionNone
	}
	s.reloadPending = false
	return actionApplySettings
}
