package cell

import "flag"

// Property tests use a fixed seed unless the command line states another.
func init() { _ = flag.Set("rapid.seed", "1") }
