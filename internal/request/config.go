// Package request implements the chain of filters that a caller's request
// passes: identify, deadline, admit, claim, route, forward, collect. Each filter
// has its own file. Orders (batch jobs) enter through the same handler.
package request

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// Config holds the settings of a Chain. Zero fields take their defaults.
type Config struct {
	// MaxHeaderBytes bounds the request header, in bytes. Default 32 KiB.
	MaxHeaderBytes int
	// MaxTimeout bounds the time a caller may ask for. Default 60s.
	MaxTimeout time.Duration
	// MaxOrderBytes bounds the body of an order, in bytes. Default 8 MiB.
	MaxOrderBytes int64
	// BodyMemory bounds request and answer bodies held in memory, in bytes, over
	// all requests. Default 256 MiB.
	BodyMemory int64
	// StreamAbove is the answer size, in bytes, above which an answer to an
	// idempotent request is streamed instead of held until complete. Default 256 KiB.
	StreamAbove int64
	// InlineOutcome is the largest answer body, in bytes, kept in the claim row;
	// larger ones go to the object store. Default 16 KiB.
	InlineOutcome int
	// RecordLimit is the largest answer body, in bytes, that is recorded. A larger
	// answer is recorded as done without its body. Default 16 MiB.
	RecordLimit int64
	// ConnectTimeout bounds the connection set-up to a runner. Default 500ms.
	ConnectTimeout time.Duration
	// LeaveMemory is how long a runner that was seen leaving stays excluded while
	// the host list still shows it as live. Default 60s.
	LeaveMemory time.Duration
	// DrainDelay is how long new requests are still accepted after Drain begins,
	// so that the load balancer notices that readiness is off. Default 5s.
	DrainDelay time.Duration
	// HedgeAfter is the smallest wait before a hedge of an idempotent request; the
	// measured tail raises it. Zero means 20ms; a negative value turns hedges off.
	HedgeAfter time.Duration
	// ClaimTimeout bounds the resolution of a claim write whose result is unknown. Default 2s.
	ClaimTimeout time.Duration
	// PerCallerShare is the part of a service's queue, in percent, that one caller
	// may occupy. Default 50.
	PerCallerShare int
	// Balancer makes the balancer of each service. Default: routing.LeastExpected.
	Balancer func() routing.Balancer
}

// provision fills in defaults.
func (c Config) provision() Config {
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxTimeout, time.Minute)
	setDefault(&c.MaxOrderBytes, 8<<20)
	setDefault(&c.BodyMemory, 256<<20)
	setDefault(&c.StreamAbove, 256<<10)
	setDefault(&c.InlineOutcome, 16<<10)
	setDefault(&c.RecordLimit, 16<<20)
	setDefault(&c.ConnectTimeout, 500*time.Millisecond)
	setDefault(&c.LeaveMemory, time.Minute)
	setDefault(&c.DrainDelay, 5*time.Second)
	setDefault(&c.HedgeAfter, 20*time.Millisecond)
	setDefault(&c.ClaimTimeout, 2*time.Second)
	setDefault(&c.PerCallerShare, 50)
	return c
}

// setDefault sets *p to def when it holds the zero value.
func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

// validate reports settings that cannot work.
func (c Config) validate() error {
	if c.MaxHeaderBytes < 1024 || c.MaxTimeout < 0 || c.BodyMemory < 0 || c.StreamAbove < 0 {
		return model.Errorf(model.KindInvalid, "leave the field empty for its default", "request settings out of range")
	}
	if c.PerCallerShare < 1 || c.PerCallerShare > 100 {
		return model.Errorf(model.KindInvalid, "set a percentage from 1 to 100", "per-caller share %d", c.PerCallerShare)
	}
	return nil
}
