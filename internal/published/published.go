// Package published defines the configuration that operators publish. It holds the customer templates and the fleet in one
// value, so that no process combines templates and fleets of different versions.
package published

import (
	_ "embed" // for the schema
	"fmt"

	"github.com/bramleyspool/bramleyspool/internal/fault"
	"github.com/bramleyspool/bramleyspool/internal/fleet"
	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/schema"
	"github.com/bramleyspool/bramleyspool/internal/template"
)

//go:embed schema.json
var schemaText []byte

// Schema is the JSON schema of a Document.
var Schema = schema.New("configuration.schema.json", schemaText)

// Key is the configuration's key in the configuration service.
const Key = "bramleyspool"

// Document is the published configuration.
type Document struct {
	template.Document
	// Fleet describes the entry VMs, services and backend servers. It has its own version, which must increase when the
	// fleet changes.
	Fleet fleet.Document `json:"fleet"`
}

// Configuration is an accepted configuration. It is immutable.
type Configuration struct {
	Version   template.Version
	Templates *template.CustomerPlans
	Fleet     *fleet.Fleet
}

// Accept decodes and validates a published configuration. It is a pure function of data, so all processes get the same
// result. It returns either the configuration or all faults.
func Accept(data []byte) (*Configuration, fault.List) {
	if len(data) > template.MaxDocumentBytes {
		return nil, fault.List{{Expected: fmt.Sprintf("at most %d bytes", template.MaxDocumentBytes), Found: fmt.Sprintf("%d bytes", len(data))}}
	}
	var document Document
	if faults := Schema.Decode(data, &document); len(faults) > 0 {
		return nil, faults
	}
	templates, faults := document.Document.Accept()
	fleet, fleetFaults := document.Fleet.Accept()
	for _, fault := range fleetFaults {
		fault.Path = "/fleet" + fault.Path
		faults = append(faults, fault)
	}
	if len(faults) > 0 {
		return nil, faults.Sorted()
	}
	if faults := crossReferenceFaults(&document, fleet); len(faults) > 0 {
		return nil, faults
	}
	return &Configuration{Version: document.Version, Templates: templates, Fleet: fleet}, nil
}

// crossReferenceFaults returns a fault for each class whose service is not in the fleet or is of another kind.
func crossReferenceFaults(document *Document, published *fleet.Fleet) fault.List {
	kinds := map[ident.Service]template.Kind{}
	for i := range published.Services {
		kinds[published.Services[i].Name] = published.Services[i].Kind
	}
	faults := &fault.Collector{}
	for i := range document.Templates {
		for j, class := range document.Templates[i].Classes {
			path := fmt.Sprintf("/templates/%d/classes/%d", i, j)
			kind, ok := kinds[class.Service]
			if !ok {
				faults.Add(path+"/service", "a service of the fleet", class.Service)
				continue
			}
			faults.Check(kind == class.Kind, path+"/kind", "the service's kind, "+string(kind), class.Kind)
		}
	}
	return faults.Faults()
}
