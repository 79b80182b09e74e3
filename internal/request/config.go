// Package request implements the chain of filters that a caller's request passes: identify,
// deadline, bufferBody, lookupKey, admit, claim, route, forward, respond. Orders (batch jobs)
// enter through the same handler.
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
	// MaxTimeout limits the timeout that a caller may request. Default 60s.
	MaxTimeout time.Duration
	// MaxOrderBytes bounds the body of an order, in bytes. Default 8 MiB.
	MaxOrderBytes int64
	// BodyMemory limits the bytes of request and response bodies held in memory, over all
	// requests. Default 256 MiB.
	BodyMemory int64
	// StreamAbove is the response size, in bytes, above which a response to an idempotent
	// request is streamed instead of buffered. Default 256 KiB.
	StreamAbove int64
	// MaxInlineBytes is the largest response body, in bytes, stored in the claim row; larger
	// ones go to the object store. Default 16 KiB.
	MaxInlineBytes int
	// MaxRecordBytes is the largest response body, in bytes, that is recorded. A larger response
	// is recorded as done without its body. Default 16 MiB.
	MaxRecordBytes int64
	// ConnectTimeout bounds the connection set-up to a runner. Default 500ms.
	ConnectTimeout time.Duration
	// LeavingRetention is how long a runner that signalled that it is leaving stays excluded while
	// the host list still shows it as live. Default 60s.
	LeavingRetention time.Duration
	// DrainDelay is how long new requests are still accepted after Drain begins, so that the
	// load balancer can notice that the node is not ready. Default 5s.
	DrainDelay time.Duration
	// HedgeAfter is the minimum delay before an idempotent request is hedged; the measured
	// tail latency raises it. Zero means 20ms; a negative value disables hedging.
	HedgeAfter time.Duration
	// ClaimTimeout limits the time to resolve a claim write whose result is unknown. Default
	// 2s.
	ClaimTimeout time.Duration
	// PerCallerShare is the percentage of a service's queue that one caller may occupy.
	// Default 50.
	PerCallerShare int
	// Balancer creates the balancer of each service. Default: routing.LeastExpected.
	Balancer func() routing.Balancer
}

// withDefaults returns c with defaults for zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxTimeout, time.Minute)
	setDefault(&c.MaxOrderBytes, 8<<20)
	setDefault(&c.BodyMemory, 256<<20)
	setDefault(&c.StreamAbove, 256<<10)
	setDefault(&c.MaxInlineBytes, 16<<10)
	setDefault(&c.MaxRecordBytes, 16<<20)
	setDefault(&c.ConnectTimeout, 500*time.Millisecond)
	setDefault(&c.LeavingRetention, time.Minute)
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

// validate returns an error for settings that are out of range.
func (c Config) validate() error {
	if c.MaxHeaderBytes < 1024 || c.MaxTimeout < 0 || c.BodyMemory < 0 || c.StreamAbove < 0 {
		return model.Errorf(model.KindInvalid, "leave the field empty for its default", "request settings out of range")
	}
	if c.PerCallerShare < 1 || c.PerCallerShare > 100 {
		return model.Errorf(model.KindInvalid, "set a percentage from 1 to 100", "per-caller share %d", c.PerCallerShare)
	}
	return nil
}
