package attempt

import "cmp"

// ServerInstance identifies one start of a backend server.
type ServerInstance struct {
	ID string `cbor:"1,keyasint"`
	// Started is the start time in Unix milliseconds; 0 if unknown.
	Started int64 `cbor:"2,keyasint,omitempty"`
}

// compare orders servers by ID and start.
func (s ServerInstance) compare(other ServerInstance) int {
	return cmp.Or(cmp.Compare(s.ID, other.ID), cmp.Compare(s.Started, other.Started))
}
