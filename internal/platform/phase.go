package platform

// phase is a part of the life of a process.
type phase int

const (
	starting phase = iota // its state is being opened; it serves nobody yet
	running
	draining // it answers what it has read, and ends
)

func (p phase) String() string { return [...]string{"starting", "running", "draining"}[p] }

// event is what happens to a process from outside, or in its own course.
type event int

const (
	eventStop           event = iota // SIGTERM or SIGINT
	eventReload                      // SIGHUP: the settings file is to be read again
	eventSettingsChange              // the content of the settings file is another one
	eventStarted                     // the state is open
)

// action is what the lifecycle is to do about an event.
type action int

const (
	actionNone           action = iota
	actionDrain                 // let the process end in order
	actionApplySettings         // read the settings file and apply it
	actionPostponeReload        // apply the settings once started
	actionIgnoreReload          // the process ends: new settings have no effect
	actionIgnoreStop            // it drains already
)

// lifecycleState is the state machine of a process: a phase, and what is to be
// done once the process has started. It does no I/O; Lifecycle feeds it and
// performs its actions.
type lifecycleState struct {
	phase         phase
	reloadPending bool
}

// step applies an event and returns what is to be done about it.
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
		return actionNone // it was stopped meanwhile
	}
	s.phase = running
	if !s.reloadPending {
		return actionNone
	}
	s.reloadPending = false
	return actionApplySettings
}
