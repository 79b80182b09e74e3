package adminapi

import "flag"

// The property tests use a fixed seed, so that a run can be repeated; the flag
// -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
