package platform

import (
	"fmt"
	"net"

	"saltreel/internal/httpwire"
	"saltreel/internal/settings"
)

// Listeners holds the listening sockets of a process that serves clients.
type Listeners struct {
	Internal  net.Listener // for calls between Saltreel processes
	Clients   net.Listener
	Readiness net.Listener // for the platform's readiness probe
}

// Listen opens the listeners of a process that serves clients.
func Listen(listen httpwire.Listen, set *settings.Settings) (opened Listeners, err error) {
	opened.Internal, err = listen(set.InternalAddress())
	if err != nil {
		return opened, fmt.Errorf("listen on the internal address: %w", err)
	}
	opened.Clients, err = listen(set.Listeners.DataPlane)
	if err != nil {
		return opened, fmt.Errorf("listen on the data-plane address: %w", err)
	}
	opened.Readiness, err = listen(set.Listeners.Readiness)
	if err != nil {
		return opened, fmt.Errorf("listen on the readiness address: %w", err)
	}
	return opened, nil
}
