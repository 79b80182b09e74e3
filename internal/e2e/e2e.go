// Package e2e holds the tests that run vpierd as separate processes against the
// platform's stand-ins: kills, freezes, graceful stops and store outages. It has
// no product code.
package e2e
