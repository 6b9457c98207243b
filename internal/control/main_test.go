package control_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests unless a flag sets it.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
