// Package fault describes what is wrong with a document: where, what was expected and what was found.
package fault

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is the JSON pointer of the field.
	Path string `json:"path"`
	// Expected says what the field should hold.
	Expected string `json:"expected"`
	// Found says what the field holds.
	Found string `json:"found"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: expected %s, found %s", path, f.Expected, f.Found)
}

// List holds all faults of a document; empty means that there are none.
type List []Fault

// Error returns all faults, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, fault := range l {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sorted returns the faults in the order of their paths.
func (l List) Sorted() List {
	sort.SliceStable(l, func(i, j int) bool { return l[i].Path < l[j].Path })
	return l
}

// Collector gathers faults while a document is checked.
type Collector struct {
	faults List
}

// Add records a fault at the path, whose last part may be formatted.
func (c *Collector) Add(path, expected string, found any) {
	c.faults = append(c.faults, Fault{Path: path, Expected: expected, Found: fmt.Sprintf("%v", found)})
}

// Check records a fault unless the condition holds.
func (c *Collector) Check(holds bool, path, expected string, found any) {
	if !holds {
		c.Add(path, expected, found)
	}
}

// Faults returns all recorded faults in the order of their paths.
func (c *Collector) Faults() List {
	return c.faults.Sorted()
}
