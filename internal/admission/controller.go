package admission

import "time"

// Controller admits, queues and refuses the requests of one entry.
// It is not safe for concurrent use.
type Controller struct {
	settings Settings
}

// NewController returns a Controller without customers or capacity.
func NewController(settings Settings) *Controller {
	return &Controller{settings: settings}
}

// Step handles one event at a time of the process's monotonic clock.
func (c *Controller) Step(_ time.Time, _ Event) []Action {
	return nil
}

// Account returns the account of this process.
func (c *Controller) Account() *Account {
	return nil
}
