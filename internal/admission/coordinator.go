package admission

import "time"

// LimitCoordinator leases the parts of the limits whose coordinator is this entry.
// It is not safe for concurrent use.
type LimitCoordinator struct {
	settings Settings
}

// NewLimitCoordinator returns a LimitCoordinator that knows of no leases.
func NewLimitCoordinator(settings Settings) *LimitCoordinator {
	return &LimitCoordinator{settings: settings}
}

// Step handles one event at a time of the process's monotonic clock.
func (c *LimitCoordinator) Step(_ time.Time, _ CoordinatorEvent) []CoordinatorAction {
	return nil
}
