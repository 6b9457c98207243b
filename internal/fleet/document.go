package fleet

import (
	_ "embed" // for the schema
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/fault"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/schema"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

//go:embed schema.json
var schemaText []byte

// Schema is the JSON schema of a Document.
var Schema = schema.New("fleet.schema.json", schemaText)

// Document is the published description of the fleet.
type Document struct {
	// Version is the version of the fleet. A fleet comes into force only if its version is greater than that of the one in
	// force.
	Version template.Version `json:"version" jsonschema:"minimum=1"`
	// Entries are the entry VMs.
	Entries []EntryVM `json:"entries" jsonschema:"minItems=1"`
	// Services are the models and plain services of the fleet.
	Services []ServiceDocument `json:"services"`
}

// ServiceDocument is one published model or plain service.
type ServiceDocument struct {
	// Name identifies the service.
	Name ident.Service `json:"name" jsonschema:"minLength=1"`
	// Kind is "model" for model engines and "plain" for other HTTP services.
	Kind template.Kind `json:"kind" jsonschema:"enum=model,enum=plain"`
	// OpenedAt is the time from which the service accepts requests with run keys, in RFC 3339 form. Earlier ones are
	// refused, so no run key was used before it.
	OpenedAt time.Time `json:"opened_at"`
	// RunKeyRetentionSeconds is how long a run key and its result are kept after its run has ended, or after it
	// became unknown whether it has run, in seconds.
	RunKeyRetentionSeconds int64 `json:"run_key_retention_seconds" jsonschema:"minimum=1"`
	// ChecksIssuer is true if the backend servers refuse requests and orders without the bearer credential of a known
	// agent. Default: false.
	ChecksIssuer bool `json:"checks_issuer,omitempty"`
	// HonoursFencing is true if the engines refuse an order with a lower fencing number than an earlier one.
	// Default: false.
	HonoursFencing bool `json:"honours_fencing,omitempty"`
	// Backends are the backend servers of the service.
	Backends []BackendServer `json:"backends"`
}

// Accept decodes and validates a published fleet. It is a pure function of data, so all processes get the same result. It
// returns either the fleet or all faults.
func Accept(data []byte) (*Fleet, fault.List) {
	if len(data) > template.MaxDocumentBytes {
		return nil, fault.List{{Expected: fmt.Sprintf("at most %d bytes", template.MaxDocumentBytes), Found: fmt.Sprintf("%d bytes", len(data))}}
	}
	var document Document
	if faults := Schema.Decode(data, &document); len(faults) > 0 {
		return nil, faults
	}
	return document.Accept()
}

// Accept validates a decoded document.
func (d *Document) Accept() (*Fleet, fault.List) {
	faults := &fault.Collector{}
	checker := documentChecker{faults: faults, addresses: map[string]bool{}, vms: map[ident.VM]bool{}}
	checker.checkEntries(d.Entries)
	checker.checkServices(d.Services)
	if list := faults.Faults(); len(list) > 0 {
		return nil, list
	}
	return d.toFleet(), nil
}

func (d *Document) toFleet() *Fleet {
	fleet := &Fleet{Version: d.Version, Entries: d.Entries}
	for i := range d.Services {
		service := &d.Services[i]
		fleet.Services = append(fleet.Services, Service{
			Name:            service.Name,
			Kind:            service.Kind,
			OpenedAt:        service.OpenedAt,
			RunKeyRetention: time.Duration(service.RunKeyRetentionSeconds) * time.Second,
			ChecksIssuer:    service.ChecksIssuer,
			HonoursFencing:  service.HonoursFencing,
			Backends:        service.Backends,
		})
	}
	return fleet
}

type documentChecker struct {
	faults    *fault.Collector
	addresses map[string]bool
	vms       map[ident.VM]bool
}

func (c *documentChecker) checkMember(path string, vm ident.VM, address string) {
	c.faults.Check(vm != "", path+"/vm", "the name of a VM", `""`)
	c.faults.Check(!c.vms[vm], path+"/vm", "a VM that is listed once", vm)
	c.vms[vm] = true
	_, err := netip.ParseAddrPort(address)
	c.faults.Check(err == nil, path+"/address", "an IP address and a port", address)
	c.faults.Check(!c.addresses[address], path+"/address", "an address that no other VM has", address)
	c.addresses[address] = true
}

func (c *documentChecker) checkEntries(entries []EntryVM) {
	for i := range entries {
		path := fmt.Sprintf("/entries/%d", i)
		c.checkMember(path, entries[i].VM, entries[i].Address)
		c.faults.Check(entries[i].Zone != "", path+"/zone", "an availability zone", `""`)
	}
}

func (c *documentChecker) checkServices(services []ServiceDocument) {
	names := map[ident.Service]bool{}
	for i := range services {
		service := &services[i]
		path := fmt.Sprintf("/services/%d", i)
		c.faults.Check(!names[service.Name], path+"/name", "a name that no other service has", service.Name)
		names[service.Name] = true
		c.checkBackends(service, path)
	}
}

func (c *documentChecker) checkBackends(service *ServiceDocument, path string) {
	type position struct {
		group ident.Group
		rank  ident.Rank
	}
	taken := map[position]bool{}
	for i := range service.Backends {
		backend := &service.Backends[i]
		backendPath := fmt.Sprintf("%s/backends/%d", path, i)
		c.checkMember(backendPath, backend.VM, backend.Address)
		c.faults.Check(backend.Zone != "", backendPath+"/zone", "an availability zone", `""`)
		c.faults.Check(backend.Capacity > 0, backendPath+"/capacity", "a number greater than 0", backend.Capacity)
		c.faults.Check(backend.Group != "" || len(backend.Ranks) == 0, backendPath+"/ranks", "no ranks without a group", len(backend.Ranks))
		for _, rank := range backend.Ranks {
			key := position{backend.Group, rank}
			c.faults.Check(rank >= 0 && !taken[key], backendPath+"/ranks", "ranks that no other backend server of the group has", rank)
			taken[key] = true
		}
	}
}

// Service returns the service with the name, or nil.
func (f *Fleet) Service(name ident.Service) *Service {
	for i := range f.Services {
		if f.Services[i].Name == name {
			return &f.Services[i]
		}
	}
	return nil
}

// Backend returns the backend server on a VM and its service, or nil for both.
func (f *Fleet) Backend(vm ident.VM) (*Service, *BackendServer) {
	for i := range f.Services {
		service := &f.Services[i]
		for j := range service.Backends {
			if service.Backends[j].VM == vm {
				return service, &service.Backends[j]
			}
		}
	}
	return nil, nil
}

// Entry returns the entry VM with the name, or nil.
func (f *Fleet) Entry(vm ident.VM) *EntryVM {
	for i := range f.Entries {
		if f.Entries[i].VM == vm {
			return &f.Entries[i]
		}
	}
	return nil
}
