// Package soak runs real vpierd processes against a simulated platform, injects seeded faults
// by signals and loopback proxies, and checks the guarantees of the contract from what
// callers, workers and the store observe.
package soak
