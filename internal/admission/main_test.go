package admission_test

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed is the rapid seed used unless -rapid.seed is set.
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
