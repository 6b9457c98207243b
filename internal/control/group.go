package control

import "github.com/bramleyspool/bramleyspool/internal/ident"

// GroupStatus is what operators see of an agent's part in a model group.
type GroupStatus struct {
	Group ident.Group `json:"group"`
}
