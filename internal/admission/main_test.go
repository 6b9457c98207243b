package admission_test

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the seed of the samples unless -rapid.seed gives another one.
const fixedSeed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set(fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
