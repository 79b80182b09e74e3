package request

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests; a flag on the command line
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
