// Package abuse tests entries, as processes on loopback, with crowds of callers that exceed the limits of the interface for callers.
// It has no code outside its tests.
package abuse
