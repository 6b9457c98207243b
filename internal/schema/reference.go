package schema

import (
	"encoding/json"
	"fmt"
	"strings"
)

// definition holds the keywords of a JSON schema that a reference page shows.
type definition struct {
	Ref         string                `json:"$ref"`
	Type        string                `json:"type"`
	Description string                `json:"description"`
	Properties  json.RawMessage       `json:"properties"`
	Required    []string              `json:"required"`
	Items       *definition           `json:"items"`
	Enum        []string              `json:"enum"`
	AnyOf       []definition          `json:"anyOf"`
	Minimum     *float64              `json:"minimum"`
	Maximum     *float64              `json:"maximum"`
	Pattern     string                `json:"pattern"`
	MinLength   int                   `json:"minLength"`
	MinItems    int                   `json:"minItems"`
	Defs        map[string]definition `json:"$defs"`
}

// field is a named property. Fields are in the order of the Go struct.
type field struct {
	name string
	definition
}

// Reference returns a Markdown page with a table of the fields of each object in a schema.
func Reference(title string, text []byte) (string, error) {
	var root definition
	if err := json.Unmarshal(text, &root); err != nil {
		return "", err
	}
	r := &reference{defs: root.Defs, written: map[string]bool{}}
	fmt.Fprintf(&r.page, "# %s\n\nThis page is generated from the JSON schema; a test checks that it is up to date.\n", title)
	if err := r.writeObject("", root); err != nil {
		return "", err
	}
	return r.page.String(), nil
}

type reference struct {
	page    strings.Builder
	defs    map[string]definition
	written map[string]bool
}

// writeObject writes the table of an object's fields, and then those of the objects that they reference.
func (r *reference) writeObject(path string, object definition) error {
	fields, err := fieldsOf(object)
	if err != nil {
		return err
	}
	heading := path
	if heading == "" {
		heading = "/"
	}
	fmt.Fprintf(&r.page, "\n## `%s`\n\n| field | type | meaning |\n| --- | --- | --- |\n", heading)
	required := map[string]bool{}
	for _, name := range object.Required {
		required[name] = true
	}
	for _, f := range fields {
		typeColumn := r.typeText(f.definition)
		if required[f.name] {
			typeColumn += ", required"
		}
		meaning := strings.Join(strings.Fields(f.Description), " ")
		fmt.Fprintf(&r.page, "| `%s` | %s | %s |\n", f.name, typeColumn, strings.ReplaceAll(meaning, "|", "\\|"))
	}
	for _, f := range fields {
		if err := r.writeReferenced(path, f); err != nil {
			return err
		}
	}
	return nil
}

// writeReferenced writes the object that a field or its items reference, unless it was already written.
func (r *reference) writeReferenced(path string, f field) error {
	ref, innerPath := f.Ref, path+"/"+f.name
	if f.Items != nil {
		ref, innerPath = f.Items.Ref, innerPath+"/*"
	}
	name := strings.TrimPrefix(ref, "#/$defs/")
	found, ok := r.defs[name]
	if !ok || r.written[name] || found.Properties == nil {
		return nil
	}
	r.written[name] = true
	return r.writeObject(innerPath, found)
}

func (r *reference) typeText(d definition) string {
	if d.Ref != "" {
		found := r.defs[strings.TrimPrefix(d.Ref, "#/$defs/")]
		if len(found.AnyOf) > 0 {
			// The only type with anyOf is template.Number.
			return "number or `{\"param\": NAME}`"
		}
		return "object"
	}
	if d.Items != nil {
		return "list of " + r.typeText(*d.Items)
	}
	if len(d.Enum) > 0 {
		return "`" + strings.Join(d.Enum, "` or `") + "`"
	}
	return d.Type + bounds(d)
}

func bounds(d definition) string {
	switch {
	case d.Minimum != nil && d.Maximum != nil:
		return fmt.Sprintf(" from %v to %v", *d.Minimum, *d.Maximum)
	case d.Minimum != nil:
		return fmt.Sprintf(", at least %v", *d.Minimum)
	case d.Pattern != "":
		return " like `" + d.Pattern + "`"
	default:
		return ""
	}
}

// fieldsOf returns an object's properties in the order of the JSON text.
func fieldsOf(object definition) ([]field, error) {
	if object.Properties == nil {
		return nil, nil
	}
	decoder := json.NewDecoder(strings.NewReader(string(object.Properties)))
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	var fields []field
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		f := field{name: fmt.Sprint(name)}
		if err := decoder.Decode(&f.definition); err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
	return fields, nil
}
