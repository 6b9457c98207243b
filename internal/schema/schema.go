// Package schema generates JSON schemas from Go types and validates documents against them.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/invopop/jsonschema"
	validator "github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/bramleyspool/bramleyspool/internal/fault"
)

const internalPath = "github.com/bramleyspool/bramleyspool/internal"

// Schema validates documents against one JSON schema. It is safe for concurrent use.
type Schema struct {
	name string
	text []byte
	once sync.Once
	// compiled and err are set by compile on the first use.
	compiled *validator.Schema
	err      error
}

// New returns a Schema for the text of a JSON schema. The text is compiled on the first use.
func New(name string, text []byte) *Schema {
	return &Schema{name: name, text: text}
}

// Text returns the JSON text of the schema.
func (s *Schema) Text() []byte {
	return s.text
}

// Generate returns the JSON schema of a value's type. The doc comments of the named packages in the module's internal
// directory become the descriptions. Their sources are read from ../NAME, so the working directory must be that of a
// package directly in internal, as it is in the package's tests.
func Generate(value any, packages ...string) ([]byte, error) {
	reflector := &jsonschema.Reflector{ExpandedStruct: true, Anonymous: true, Mapper: namedStringSchema, Namer: typeName}
	for _, name := range packages {
		if err := reflector.AddGoComments(internalPath+"/"+name, "../"+name); err != nil {
			return nil, fmt.Errorf("doc comments of %s: %w", name, err)
		}
	}
	text, err := json.MarshalIndent(reflector.Reflect(value), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return append(text, '\n'), nil
}

// typeName returns the type's name with its package, since types of several packages have the same name.
func typeName(t reflect.Type) string {
	if t.Name() == "" {
		return ""
	}
	return t.String()
}

// namedStringSchema describes named string types inline instead of by reference, since a definition of such a type would
// contain nothing but "type": "string".
func namedStringSchema(t reflect.Type) *jsonschema.Schema {
	if t.Kind() == reflect.String && t.Name() != "string" {
		return &jsonschema.Schema{Type: "string"}
	}
	return nil
}

// Check validates a JSON document and returns all faults, in the order of their paths.
func (s *Schema) Check(document []byte) fault.List {
	s.once.Do(s.compile)
	if s.err != nil {
		return fault.List{{Expected: "a valid schema " + s.name, Found: s.err.Error()}}
	}
	instance, err := validator.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return fault.List{{Expected: "a JSON document", Found: err.Error()}}
	}
	err = s.compiled.Validate(instance)
	if err == nil {
		return nil
	}
	var invalid *validator.ValidationError
	if !errors.As(err, &invalid) {
		return fault.List{{Expected: "a valid document", Found: err.Error()}}
	}
	var faults fault.List
	collectFaults(invalid, instance, &faults)
	return faults.Sorted()
}

// Decode validates a document and, if it has no faults, decodes it into target.
func (s *Schema) Decode(document []byte, target any) fault.List {
	if faults := s.Check(document); len(faults) > 0 {
		return faults
	}
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.List{{Expected: "a document of the schema " + s.name, Found: err.Error()}}
	}
	return nil
}

func (s *Schema) compile() {
	document, err := validator.UnmarshalJSON(bytes.NewReader(s.text))
	if err != nil {
		s.err = err
		return
	}
	compiler := validator.NewCompiler()
	if err := compiler.AddResource(s.name, document); err != nil {
		s.err = err
		return
	}
	s.compiled, s.err = compiler.Compile(s.name)
}

// collectFaults adds a fault for each innermost cause, since only those have the location of the invalid field.
func collectFaults(err *validator.ValidationError, instance any, faults *fault.List) {
	if len(err.Causes) > 0 {
		for _, cause := range err.Causes {
			collectFaults(cause, instance, faults)
		}
		return
	}
	if additional, ok := err.ErrorKind.(*kind.AdditionalProperties); ok {
		collectUnknownFields(err.InstanceLocation, additional.Properties, instance, faults)
		return
	}
	path := jsonPointer(err.InstanceLocation)
	expected := err.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	*faults = append(*faults, fault.Fault{Path: path, Expected: expected, Found: jsonAt(instance, err.InstanceLocation)})
}

// collectUnknownFields adds a fault for each field that the schema does not define. It sorts them, since the validator
// returns them in the random order of a map.
func collectUnknownFields(location, fields []string, instance any, faults *fault.List) {
	sort.Strings(fields)
	for _, field := range fields {
		path := append(slices.Clone(location), field)
		*faults = append(*faults, fault.Fault{Path: jsonPointer(path), Expected: "no field of this name", Found: jsonAt(instance, path)})
	}
}

func jsonPointer(location []string) string {
	var path strings.Builder
	for _, part := range location {
		path.WriteByte('/')
		path.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(part))
	}
	return path.String()
}

// maxFoundBytes limits the JSON text in Fault.Found.
const maxFoundBytes = 80

// jsonAt returns the JSON text at a location of a document, truncated to maxFoundBytes.
func jsonAt(instance any, location []string) string {
	for _, part := range location {
		switch value := instance.(type) {
		case map[string]any:
			instance = value[part]
		case []any:
			var index int
			if _, err := fmt.Sscanf(part, "%d", &index); err != nil || index >= len(value) {
				return "nothing"
			}
			instance = value[index]
		}
	}
	text, err := json.Marshal(instance)
	if err != nil {
		return "nothing"
	}
	if len(text) > maxFoundBytes {
		return string(text[:maxFoundBytes]) + "..."
	}
	return string(text)
}
