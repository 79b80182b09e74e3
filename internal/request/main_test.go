package request

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for the property-based tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
