// Package e2e holds the tests that run vpierd as separate processes against a simulated
// platform, with killed and frozen nodes, graceful stops, network partitions and store
// outages. It has no product code.
package e2e
