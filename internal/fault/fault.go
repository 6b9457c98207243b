// Package fault describes the validation errors of a document: the field, the expected and the found value.
package fault

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one validation error.
type Fault struct {
	// Path is the JSON pointer of the field.
	Path string `json:"path"`
	// Expected describes the valid values of the field.
	Expected string `json:"expected"`
	// Found is the value of the field.
	Found string `json:"found"`
}

// String returns the fault as "PATH: expected EXPECTED, found FOUND".
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: expected %s, found %s", path, f.Expected, f.Found)
}

// List is the list of all faults of a document. An empty list means that the document is valid.
type List []Fault

// Error returns all faults, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, fault := range l {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if the list is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sorted sorts the list in place by path and returns it.
func (l List) Sorted() List {
	sort.SliceStable(l, func(i, j int) bool { return l[i].Path < l[j].Path })
	return l
}

// Collector collects the faults of a document. The zero value is ready to use.
type Collector struct {
	faults List
}

// Add adds a fault. found is formatted with %v.
func (c *Collector) Add(path, expected string, found any) {
	c.faults = append(c.faults, Fault{Path: path, Expected: expected, Found: fmt.Sprintf("%v", found)})
}

// Check adds a fault if the condition is false.
func (c *Collector) Check(valid bool, path, expected string, found any) {
	if !valid {
		c.Add(path, expected, found)
	}
}

// Faults returns all faults, sorted by path.
func (c *Collector) Faults() List {
	return c.faults.Sorted()
}
