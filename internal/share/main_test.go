package share

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of steps of the property-based tests; flags on the
// command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
