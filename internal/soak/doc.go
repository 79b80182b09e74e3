// Package soak runs real vpierd processes against the stand-ins of the platform,
// injects seeded faults from outside by signals and loopback proxies, and checks the
// promises from what callers, workers and the store see.
package soak
