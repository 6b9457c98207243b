package platform

import (
	"cmp"
	"context"
	"fmt"
	"slices"
)

// VMListClient implements VMList over HTTP.
type VMListClient struct {
	*client
}

// NewVMListClient returns a client for the list at the base URL.
func NewVMListClient(options Options) *VMListClient {
	return &VMListClient{newClient(options)}
}

var _ VMList = (*VMListClient)(nil)

// vmListBody is the JSON form of the list. VMs is a pointer to detect a missing field.
type vmListBody struct {
	VMs *[]VMStatus `json:"vms"`
}

// List returns all VMs on the list, sorted by name.
func (c *VMListClient) List(ctx context.Context) ([]VMStatus, error) {
	const op = "vms.list"
	var body vmListBody
	if err := c.doJSON(ctx, op, c.base.New().Get("/v1/vms"), &body); err != nil {
		return nil, err
	}
	if body.VMs == nil {
		return nil, &Error{Kind: KindGarbage, Op: op, Detail: "response has no list of VMs"}
	}
	list := *body.VMs
	slices.SortFunc(list, func(a, b VMStatus) int { return cmp.Compare(a.VM, b.VM) })
	if err := checkVMs(list); err != nil {
		return nil, &Error{Kind: KindGarbage, Op: op, Err: err}
	}
	return list, nil
}

func checkVMs(sorted []VMStatus) error {
	for i, status := range sorted {
		if status.VM == "" {
			return fmt.Errorf("VM without name")
		}
		if status.State != VMLive && status.State != VMLeaving {
			return fmt.Errorf("VM %q has unknown state %q", status.VM, status.State)
		}
		if i > 0 && sorted[i-1].VM == status.VM {
			return fmt.Errorf("VM %q is listed twice", status.VM)
		}
	}
	return nil
}
