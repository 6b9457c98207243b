package membership_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of checks for property tests unless flags set them.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20260101", "rapid.checks": "200", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
