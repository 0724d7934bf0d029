package platform

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"saltreel/internal/settings"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "SALTREEL_BOOT"

// Path returns the path of the settings file.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", errors.New("environment variable " + PathVariable + " is not set; it must hold the path of the settings file")
	}
	return path, nil
}

// readSettingsFile reads the settings file that PathVariable names.
func readSettingsFile() ([]byte, error) {
	path, err := Path()
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return raw, nil
}

// parseSettings parses settings and validates them for a role.
func parseSettings(raw []byte, role string) (*settings.Settings, error) {
	set, err := settings.Parse(string(raw))
	if err != nil {
		return nil, err
	}
	return set, set.Require(role)
}

// limitMemory sets the memory limit of the Go runtime to half of limits.memory-mb.
func limitMemory(set *settings.Settings) {
	if set.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(set.Limits.MemoryMb << 20 / 2)
	}
}
